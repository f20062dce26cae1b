#include "console.h"

namespace bulrush::ctl {

bool confirm(Console &console, const std::string &question)
{
    console.err << question << " [y/N] " << std::flush;
    std::string answer;
    std::getline(console.in, answer);
    return answer == "y" || answer == "Y" || answer == "yes";
}

} // namespace bulrush::ctl
