#include "ctl/textfile.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

namespace wisteriafork {

tl::expected<std::string, std::string> readTextFile(const std::string &path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.is_open() || file.bad()) {
        return tl::unexpected("cannot read " + path + ": " + std::strerror(errno));
    }
    return content;
}

std::string writeTextFile(const std::string &path, const std::string &content)
{
    const std::string temporaryPath = path + ".new";
    errno = 0;
    std::ofstream file(temporaryPath, std::ios::binary | std::ios::trunc);
    file << content;
    file.close();
    if (!file || std::rename(temporaryPath.c_str(), path.c_str()) != 0) {
        return "cannot write " + path + ": " + std::strerror(errno);
    }
    return {};
}

} // namespace wisteriafork
