#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// Runs the tests of one executable. The leak detector of CppUTest is off because it reports memory that rapidcheck keeps in static objects;
// AddressSanitizer finds leaks in the sanitizer builds.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
