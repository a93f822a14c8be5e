// worker_stand_in: the worker stand-in as a program.
//
//   worker_stand_in --name worker-1 --port 7801 --slots 8 --record starts.jsonl
//   -> "listening on 127.0.0.1:7801" on standard output

#include <cxxopts.hpp>
#include <iostream>

#include "stop_signal.h"
#include "worker.h"

namespace egretswitch::stand_ins {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("worker_stand_in",
                           "Takes the place of one of the platform's workers.");
  auto add = options.add_options();
  add("name", "name of the worker, part of every output",
      cxxopts::value<std::string>()->default_value("worker-1"));
  add("address", "numeric IPv4 address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "port to listen on, 0 for any",
      cxxopts::value<uint16_t>()->default_value("7801"));
  add("connections", "connections at once",
      cxxopts::value<uint32_t>()->default_value("64"));
  add("slots", "tasks at once", cxxopts::value<uint32_t>()->default_value("8"));
  add("millicores", "processor capacity",
      cxxopts::value<uint32_t>()->default_value("64000"));
  add("memory-mb", "memory capacity",
      cxxopts::value<uint32_t>()->default_value("131072"));
  add("accelerators", "accelerators",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("usage-lag-ms", "age of the usage reports",
      cxxopts::value<uint32_t>()->default_value("1000"));
  add("record", "file for a line for each start and end",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "print this help");
  return options;
}

WorkerOptions ReadOptions(const cxxopts::ParseResult& arguments) {
  WorkerOptions options;
  options.name = arguments["name"].as<std::string>();
  options.http.address = arguments["address"].as<std::string>();
  options.http.port = arguments["port"].as<uint16_t>();
  options.http.connections = arguments["connections"].as<uint32_t>();
  options.capacity.slots = arguments["slots"].as<uint32_t>();
  Resources& resources = options.capacity.resources;
  resources.millicores = arguments["millicores"].as<uint32_t>();
  resources.memory_mb = arguments["memory-mb"].as<uint32_t>();
  resources.accelerators = arguments["accelerators"].as<uint32_t>();
  options.usage_lag =
      std::chrono::milliseconds(arguments["usage-lag-ms"].as<uint32_t>());
  options.record_path = arguments["record"].as<std::string>();
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
  const WorkerOptions worker_options = ReadOptions(arguments);
  Worker worker(worker_options);
  const absl::Status started = worker.Start();
  if (!started.ok()) {
    std::cerr << "user error: " << started.message() << std::endl;
    return 1;
  }
  std::cout << "listening on " << worker_options.http.address << ":"
            << worker.port() << std::endl;
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
