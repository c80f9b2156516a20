#include "core/workspace/workspacetable.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

namespace {

Workspace workspace(const char *name, std::initializer_list<const char *> keys)
{
    Workspace result{.name = name};
    for (const char *key : keys) {
        result.keys.push_back(digestOfKey(key));
    }
    return result;
}

} // namespace

TEST_GROUP(WorkspaceTable){};

// Guards against callers that are cut off while their workspace changes its key.
TEST(WorkspaceTable, BothKeysOfARotationBelongToTheWorkspace)
{
    const WorkspaceTable table({workspace("growers", {"old", "new"}), workspace("inspectors", {"other"})});

    STRCMP_EQUAL("growers", table.findByKey("old")->name.c_str());
    STRCMP_EQUAL("growers", table.findByKey("new")->name.c_str());
    STRCMP_EQUAL("inspectors", table.findByKey("other")->name.c_str());
    POINTERS_EQUAL(nullptr, table.findByKey("ol"));
    POINTERS_EQUAL(nullptr, table.findByKey(""));
}

// Guards against a request that runs for the wrong one of two workspaces.
TEST(WorkspaceTable, AKeyOfTwoWorkspacesIdentifiesNeither)
{
    const WorkspaceTable table({workspace("growers", {"shared", "own"}), workspace("inspectors", {"shared"})});

    POINTERS_EQUAL(nullptr, table.findByKey("shared"));
    STRCMP_EQUAL("growers", table.findByKey("own")->name.c_str());
    LONGS_EQUAL(1, table.ambiguousKeys());
}
