// Command line of the stand-ins.
#pragma once

#include "base/base.h"

#include <boost/program_options.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

namespace monsoonledge::standins {

namespace po = boost::program_options;

/// Parses the options and calls `serve`. Adds --help and --listen. Returns the exit code: 2 for a
/// wrong command line, 1 if `serve` throws.
inline int runProgram(int argc, char **argv, const po::options_description &extra,
                      const std::function<void(const Address &, const po::variables_map &)> &serve)
{
    po::options_description options("Options");
    options.add_options()("help", "print this help")("listen", po::value<std::string>()->required(),
                                                     "address, ip:port");
    options.add(extra);
    po::variables_map values;
    Address address;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
        address = parseAddress(values["listen"].as<std::string>());
    } catch (const std::exception &e) {
        std::cerr << argv[0] << ": " << e.what() << '\n';
        return 2;
    }
    try {
        serve(address, values);
    } catch (const std::exception &e) {
        std::cerr << argv[0] << ": " << e.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace monsoonledge::standins
