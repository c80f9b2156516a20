#include "core/overload/admissionlevel.h"

namespace wisteriafork {

double hashPosition(std::uint64_t requestHash)
{
    // The upper 32 bits give the position; the integer part is the upper byte.
    return static_cast<double>(requestHash >> 32U) / static_cast<double>(1ULL << 24U);
}

double toScale(const AdmissionLevel &level)
{
    const double classesAbove = 2.0 - static_cast<double>(level.callClass);
    return classesAbove * CutsPerClass + std::min<double>(level.cut, CutsPerClass);
}

AdmissionLevel fromScale(double scale)
{
    const auto whole = static_cast<unsigned>(std::clamp(scale, 0.0, FullScale));
    const unsigned classesAbove = whole == static_cast<unsigned>(FullScale) ? 2 : whole / 256;
    return {.callClass = static_cast<CallClass>(2 - classesAbove), .cut = static_cast<std::uint16_t>(whole - classesAbove * 256)};
}

double admittedShare(double scale, CallClass callClass)
{
    const double classesAbove = 2.0 - static_cast<double>(callClass);
    return std::clamp(scale / CutsPerClass - classesAbove, 0.0, 1.0);
}

bool admits(double scale, CallClass callClass, std::uint64_t requestHash)
{
    return hashPosition(requestHash) < admittedShare(scale, callClass) * CutsPerClass;
}

AdmissionLevel stricter(const AdmissionLevel &first, const AdmissionLevel &second)
{
    return toScale(first) <= toScale(second) ? first : second;
}

} // namespace wisteriafork
