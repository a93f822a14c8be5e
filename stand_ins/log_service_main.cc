// log_service_stand_in: the log stand-in as a program.
//
//   log_service_stand_in --port 7900 --appends-per-second 400
//   -> "listening on 127.0.0.1:7900" on standard output

#include <cxxopts.hpp>
#include <iostream>

#include "log_service.h"
#include "stop_signal.h"

namespace egretswitch::stand_ins {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("log_service_stand_in",
                           "Takes the place of the platform's log service.");
  auto add = options.add_options();
  add("address", "numeric IPv4 address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "port to listen on, 0 for any",
      cxxopts::value<uint16_t>()->default_value("7900"));
  add("connections", "connections at once",
      cxxopts::value<uint32_t>()->default_value("512"));
  add("keep-records", "records kept in a stream",
      cxxopts::value<size_t>()->default_value("10000"));
  add("keep-seconds", "age of the oldest record kept",
      cxxopts::value<uint32_t>()->default_value("3600"));
  add("appends-per-second", "appends above this rate get 429",
      cxxopts::value<uint32_t>()->default_value("400"));
  add("append-delay-ms", "time that an append takes",
      cxxopts::value<uint32_t>()->default_value("4"));
  add("help", "print this help");
  return options;
}

LogServiceOptions ReadOptions(const cxxopts::ParseResult& arguments) {
  LogServiceOptions options;
  options.http.address = arguments["address"].as<std::string>();
  options.http.port = arguments["port"].as<uint16_t>();
  options.http.connections = arguments["connections"].as<uint32_t>();
  options.retention.records = arguments["keep-records"].as<size_t>();
  options.retention.age =
      std::chrono::seconds(arguments["keep-seconds"].as<uint32_t>());
  options.appends_per_second = arguments["appends-per-second"].as<uint32_t>();
  options.append_delay =
      std::chrono::milliseconds(arguments["append-delay-ms"].as<uint32_t>());
  return options;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help() << std::endl;
    return 0;
  }
  BlockStopSignals();
  const LogServiceOptions log_options = ReadOptions(arguments);
  LogService log(log_options);
  const absl::Status started = log.Start();
  if (!started.ok()) {
    std::cerr << "user error: " << started.message() << std::endl;
    return 1;
  }
  std::cout << "listening on " << log_options.http.address << ":" << log.port()
            << std::endl;
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace egretswitch::stand_ins

int main(int argc, char** argv) {
  try {
    return egretswitch::stand_ins::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "user error: " << error.what() << std::endl;
    return 1;
  }
}
