// The one place that includes the msgpack library, with the one type that the
// packaged version lacks: std::variant, packed as [index, value].
//
//   struct Point { int x; int y; MSGPACK_DEFINE(x, y) };   // packs as [x, y]
//   std::variant<int, Point> v = Point{3, 4};              // packs as [1, [3,
//   4]]
//
// An index or shape that does not fit throws msgpack::type_error, which
// wire_codec.cc turns into a status.
#ifndef EGRETSWITCH_SRC_MSGPACK_CONFIG_H_
#define EGRETSWITCH_SRC_MSGPACK_CONFIG_H_

#define MSGPACK_NO_BOOST 1
#include <msgpack.hpp>

#include <cstddef>
#include <utility>
#include <variant>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename... Alternatives>
  struct pack<std::variant<Alternatives...>> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(
        msgpack::packer<Stream>& packer,
        const std::variant<Alternatives...>& value) const {
      packer.pack_array(2);
      packer.pack(static_cast<uint32_t>(value.index()));
      std::visit(
          [&packer](const auto& alternative) { packer.pack(alternative); },
          value);
      return packer;
    }
  };

  template <typename... Alternatives>
  struct convert<std::variant<Alternatives...>> {
    using Variant = std::variant<Alternatives...>;

    const msgpack::object& operator()(const msgpack::object& object,
                                      Variant& value) const {
      if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
        throw msgpack::type_error();
      }
      const auto index = object.via.array.ptr[0].as<uint32_t>();
      if (index >= sizeof...(Alternatives)) {
        throw msgpack::type_error();
      }
      ConvertAt(index, object.via.array.ptr[1], value,
                std::index_sequence_for<Alternatives...>());
      return object;
    }

   private:
    template <size_t... Indexes>
    static void ConvertAt(uint32_t index,
                          const msgpack::object& object,
                          Variant& value,
                          std::index_sequence<Indexes...>) {
      ((index == Indexes ? static_cast<void>(object.convert(
                               value.template emplace<Indexes>()))
                         : static_cast<void>(0)),
       ...);
    }
  };

  }  // namespace adaptor
}  // MSGPACK_API_VERSION_NAMESPACE
}  // namespace msgpack

#endif  // EGRETSWITCH_SRC_MSGPACK_CONFIG_H_
