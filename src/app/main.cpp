#include "app/commands.h"
#include "app/exitcodes.h"

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    const int status = monsoonledge::runCommandLine(arguments, std::cout, std::cerr);
    std::cout.flush();
    if (!std::cout && status == monsoonledge::ExitSuccess) {
        std::cerr << "monsoonledge: cannot write to standard output\n";
        return monsoonledge::ExitFailed;
    }
    return status;
}
