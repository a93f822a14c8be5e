#include "kernel.h"

#include "internal_assert.h"

namespace egretswitch::internal {

void Kernel::RegisterErased(std::string_view name,
                            void* service,
                            std::type_index type) {
  const bool inserted =
      m_services.emplace(std::string(name), Entry{service, type}).second;
  InternalAssert(inserted, "service registered twice", name);
}

void* Kernel::FindErased(std::string_view name, std::type_index type) const {
  const auto it = m_services.find(name);
  InternalAssert(it != m_services.end(), "service not registered", name);
  InternalAssert(it->second.type == type, "service has another type", name);
  return it->second.service;
}

}  // namespace egretswitch::internal
