#include "base/base.h"

namespace monsoonledge {

namespace {

[[noreturn]] void throwInvalid(const std::string &reason)
{
    throw std::invalid_argument(reason);
}

/// The first bytes of an item: its type, and its value or size.
struct Head
{
    CborType type = CborType::Simple;
    std::uint64_t argument = 0;
};

Head readHead(std::string_view bytes, std::size_t &position)
{
    if (position == bytes.size())
        throwInvalid("truncated");
    const auto initialByte = static_cast<unsigned char>(bytes[position++]);
    const unsigned additionalInfo = initialByte & 31U;
    Head head{static_cast<CborType>(initialByte >> 5U), additionalInfo};
    if (additionalInfo >= 28)
        throwInvalid("indefinite or reserved length of an item");
    if (additionalInfo < 24)
        return head;
    head.argument = 0;
    for (unsigned left = 1U << (additionalInfo - 24U); left > 0; --left) {
        if (position == bytes.size())
            throwInvalid("truncated");
        head.argument = (head.argument << 8U) | static_cast<unsigned char>(bytes[position++]);
    }
    return head;
}

bool isContainer(CborType type)
{
    return type == CborType::Array || type == CborType::Map;
}

} // namespace

CborItem checkCbor(std::string_view bytes, CborLimits limits)
{
    std::size_t position = 0;
    std::size_t items = 0;
    std::optional<CborItem> top;
    std::vector<std::uint64_t> remainingPerLevel{1}; // remaining items at each nesting level
    while (!remainingPerLevel.empty()) {
        if (remainingPerLevel.back() == 0) {
            remainingPerLevel.pop_back();
            continue;
        }
        --remainingPerLevel.back();
        if (++items > limits.maxItems)
            throwInvalid("too many items");
        const Head head = readHead(bytes, position);
        if (!top)
            top = CborItem{head.type, head.argument};
        if (head.type == CborType::Tag)
            throwInvalid("tag");
        const bool isString = head.type == CborType::Bytes || head.type == CborType::Text;
        if (!isString && !isContainer(head.type))
            continue;
        if (head.argument > bytes.size() - position)
            throwInvalid("length of an item exceeds the message");
        if (isString) {
            position += head.argument;
            continue;
        }
        if (remainingPerLevel.size() > limits.maxDepth)
            throwInvalid("nested too deeply");
        remainingPerLevel.push_back(head.type == CborType::Map ? head.argument * 2 : head.argument);
    }
    if (position != bytes.size())
        throwInvalid("unexpected bytes after the message");
    return *top;
}

} // namespace monsoonledge
