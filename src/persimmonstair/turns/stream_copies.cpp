#include "persimmonstair/turns/stream_copies.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::turns {

StreamCopies::Output* StreamCopies::OutputFor(Copy& copy, const StreamPart& part) {
  if (part.fence == copy.held.fence) return &copy.held;
  if (part.fence < copy.held.fence) return nullptr;
  if (!copy.incoming || copy.incoming->fence < part.fence) {
    if (part.offset != 0) return nullptr;
    if (copy.incoming) bytes_ -= copy.incoming->data.size();
    copy.incoming = Output{part.fence, {}, {}, false};
  }
  return copy.incoming->fence == part.fence ? &*copy.incoming : nullptr;
}

bool StreamCopies::Append(Output& output, const StreamPart& part) {
  if (part.offset < output.data.size()) {
    const std::string_view data = output.data;
    const std::string_view known = data.substr(part.offset);
    const std::size_t n = std::min(known.size(), part.data.size());
    if (known.substr(0, n) != part.data.substr(0, n)) output.contradictory = true;
  }
  if (part.offset != output.data.size()) return false;
  output.data += part.data;
  bytes_ += part.data.size();
  if (part.ends) output.ends.push_back({part.event, output.data.size()});
  return true;
}

std::uint64_t StreamCopies::Add(base::TimePoint now, const StreamKey& key, const StreamPart& part) {
  auto it = copies_.find(key);
  if (it == copies_.end()) {
    if (part.offset != 0) return 0;
    it = copies_.emplace(key, Copy{{part.fence, {}, {}, false}, {}, now}).first;
  }
  Copy& copy = it->second;
  Output* output = OutputFor(copy, part);
  if (output == nullptr) return 0;
  const bool added = Append(*output, part);
  const std::uint64_t size = output->contradictory ? 0 : output->data.size();
  if (!added) return size;
  copy.changed_at = now;
  if (copy.incoming && !copy.incoming->ends.empty()) {
    bytes_ -= copy.held.data.size();
    copy.held = std::move(*copy.incoming);
    copy.incoming.reset();
  }
  while (bytes_ > max_bytes_) DropOldest();
  return size;
}

std::optional<std::string_view> StreamCopies::Find(const StreamKey& key, std::uint64_t event,
                                                   std::uint64_t least_fence) const {
  const auto it = copies_.find(key);
  if (it == copies_.end()) return std::nullopt;
  const Output& held = it->second.held;
  if (held.fence < least_fence || held.contradictory) return std::nullopt;
  const auto end = std::find_if(held.ends.begin(), held.ends.end(),
                                [event](const EventEnd& one) { return one.event == event; });
  if (end == held.ends.end()) return std::nullopt;
  const std::string_view data = held.data;
  return data.substr(0, end->size);
}

std::optional<std::uint64_t> StreamCopies::FenceOf(const StreamKey& key) const {
  const auto it = copies_.find(key);
  if (it == copies_.end()) return std::nullopt;
  return it->second.held.fence;
}

void StreamCopies::Drop(const StreamKey& key) {
  const auto it = copies_.find(key);
  if (it != copies_.end()) Erase(it);
}

void StreamCopies::Expire(base::TimePoint now) {
  for (auto it = copies_.begin(); it != copies_.end();) {
    const auto one = it++;
    if (now - one->second.changed_at >= kStreamCopyTime) Erase(one);
  }
}

void StreamCopies::Erase(Copies::iterator it) {
  const Copy& copy = it->second;
  bytes_ -= copy.held.data.size();
  if (copy.incoming) bytes_ -= copy.incoming->data.size();
  copies_.erase(it);
}

void StreamCopies::DropOldest() {
  Erase(std::min_element(copies_.begin(), copies_.end(), [](const auto& a, const auto& b) {
    return a.second.changed_at < b.second.changed_at;
  }));
}

}  // namespace persimmonstair::turns
