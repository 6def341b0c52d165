#include <iostream>

int main()
{
    std::cout << "monsoonledge " << MONSOONLEDGE_VERSION << '\n';
    return 0;
}
