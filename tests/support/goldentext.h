#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace bulrush::test {

inline std::string fileText(const std::filesystem::path &path)
{
    std::ifstream file{path, std::ios::binary};
    BOOST_REQUIRE_MESSAGE(file.is_open(), path << " can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/**
 * Compares \a text with the golden file \a name under tests/golden/. With BULRUSH_UPDATE_GOLDEN=1
 * the file is overwritten instead.
 */
inline void checkGolden(const std::string &name, const std::string &text)
{
    const std::filesystem::path path = std::filesystem::path{BULRUSH_GOLDEN_DIR} / name;
    if (std::getenv("BULRUSH_UPDATE_GOLDEN")) {
        std::filesystem::create_directories(path.parent_path());
        std::ofstream{path, std::ios::binary} << text;
    }
    const std::string expected = fileText(path);
    BOOST_CHECK_MESSAGE(expected == text,
                        name << " differs\n--- golden\n"
                             << expected << "--- now\n"
                             << text);
}

} // namespace bulrush::test
