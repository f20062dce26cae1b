#pragma once

#include <string>
#include <string_view>

/**
 * The log of a test session, compared with the golden file of the same name.
 */
class GoldenSession
{
public:
    explicit GoldenSession(std::string_view name);

    /** Adds a line. */
    void note(std::string_view line);

    /** Compares with the file, or writes it if BULRUSH_UPDATE_GOLDEN is set. */
    void check() const;

private:
    std::string m_path;
    std::string m_text;
};
