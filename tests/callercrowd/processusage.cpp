#include "callercrowd/processusage.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace bulrush::test {

namespace {

constexpr std::chrono::milliseconds sampleInterval{5};
constexpr std::uint64_t bytesPerKilobyte = 1024;

std::string processFolder(pid_t pid)
{
    return "/proc/" + std::to_string(pid);
}

} // namespace

std::uint64_t anonymousMemory(pid_t pid)
{
    const std::string field = "RssAnon:";
    std::ifstream status{processFolder(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size())) * bytesPerKilobyte;
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator descriptors{processFolder(pid) + "/fd"};
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

MemoryPeak::MemoryPeak(pid_t pid)
    : m_sampler([this, pid] {
        while (!m_isOver) {
            m_bytes = std::max(m_bytes.load(), anonymousMemory(pid));
            std::this_thread::sleep_for(sampleInterval);
        }
    })
{ }

MemoryPeak::~MemoryPeak()
{
    m_isOver = true;
    m_sampler.join();
}

} // namespace bulrush::test
