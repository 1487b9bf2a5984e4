#ifndef PERSIMMONSTAIR_SCHEMA_BOUNDED_HPP_
#define PERSIMMONSTAIR_SCHEMA_BOUNDED_HPP_

#include <cereal/cereal.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::schema {

// These limits are checked when a message is loaded, not when it is saved.

/// Largest number of elements in a list or map of a message between instances.
inline constexpr std::uint32_t kMaxElements = 65'536;
/// Largest length of a string in a message between instances, in bytes.
inline constexpr std::uint32_t kMaxStringBytes = 16U << 20U;

/// @brief Reads a length and throws cereal::Exception if it exceeds the limit. cereal's own
/// containers allocate any size that the sender states, so the generated code uses the functions of
/// this header instead.
template <class Archive>
std::uint32_t LoadSize(Archive& archive, std::uint32_t limit) {
  std::uint32_t size = 0;
  archive(size);
  if (size > limit) throw cereal::Exception("length exceeds the limit for a list, map or string");
  return size;
}

// Saves or loads one field, depending on the archive. The overloads for containers load element by
// element, so that memory grows only with the bytes that were received.
template <class Archive, class T>
void Field(Archive& archive, T& value) {
  archive(value);
}

template <class Archive>
void Field(Archive& archive, std::string& value) {
  if constexpr (Archive::is_loading::value) {
    std::uint32_t left = LoadSize(archive, kMaxStringBytes);
    value.clear();
    char buf[4096];
    while (left > 0) {
      const std::uint32_t n = left < sizeof buf ? left : sizeof buf;
      archive(cereal::binary_data(buf, n));
      value.append(buf, n);
      left -= n;
    }
  } else {
    const auto size = static_cast<std::uint32_t>(value.size());
    archive(size);
    archive(cereal::binary_data(value.data(), value.size()));
  }
}

template <class Archive, class Tag>
void Field(Archive& archive, base::StringId<Tag>& id) {
  Field(archive, id.value);
}

template <class Archive, class Tag>
void Field(Archive& archive, base::NumberId<Tag>& id) {
  archive(id.value);
}

template <class Archive, class T>
void Field(Archive& archive, std::vector<T>& list) {
  if constexpr (Archive::is_loading::value) {
    const std::uint32_t size = LoadSize(archive, kMaxElements);
    list.clear();
    for (std::uint32_t n = 0; n < size; ++n) Field(archive, list.emplace_back());
  } else {
    const auto size = static_cast<std::uint32_t>(list.size());
    archive(size);
    for (T& item : list) Field(archive, item);
  }
}

template <class Archive, class K, class V>
void Field(Archive& archive, std::map<K, V>& map) {
  if constexpr (Archive::is_loading::value) {
    const std::uint32_t size = LoadSize(archive, kMaxElements);
    map.clear();
    for (std::uint32_t n = 0; n < size; ++n) {
      K key{};
      Field(archive, key);
      Field(archive, map[std::move(key)]);
    }
  } else {
    const auto size = static_cast<std::uint32_t>(map.size());
    archive(size);
    for (auto& [key, value] : map) {
      K copy = key;
      Field(archive, copy);
      Field(archive, value);
    }
  }
}

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_BOUNDED_HPP_
