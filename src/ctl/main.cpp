#include "ctl/ctl.h"
#include "platform/publishedvalues.h"

#include <iostream>

int main(int argc, char **argv)
{
    return static_cast<int>(wisteriafork::runCtl(argc, argv, std::cout, std::cerr,
                                                 {.formatPublishedValue = wisteriafork::platform::configurationToPublishedText}));
}
