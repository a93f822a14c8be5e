// A micro-kernel: services register under a name and find each other by it.
//
//   kernel.Register("control", &control);
//   ControlState& control = kernel.Find<ControlState>("control");
//
// Services are wired once, while the node is built; a missing or mistyped
// service is our own error and ends the process with a message naming it.
#ifndef EGRETSWITCH_SRC_KERNEL_H_
#define EGRETSWITCH_SRC_KERNEL_H_

#include <map>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>

namespace egretswitch::internal {

class Kernel {
 public:
  Kernel() = default;
  Kernel(const Kernel&) = delete;
  Kernel& operator=(const Kernel&) = delete;

  // Makes `service` known as `name`. The kernel does not own it.
  template <typename Service>
  void Register(std::string_view name, Service* service) {
    RegisterErased(name, service, typeid(Service));
  }

  // The service registered as `name`, which must be of this very type.
  template <typename Service>
  Service& Find(std::string_view name) const {
    return *static_cast<Service*>(FindErased(name, typeid(Service)));
  }

 private:
  struct Entry {
    void* service;
    std::type_index type;
  };

  void RegisterErased(std::string_view name,
                      void* service,
                      std::type_index type);
  void* FindErased(std::string_view name, std::type_index type) const;

  std::map<std::string, Entry, std::less<>> m_services;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_KERNEL_H_
