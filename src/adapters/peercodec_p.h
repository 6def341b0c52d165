// Limits, structure check, and writer and reader of fields for the messages between entry
// processes. Private to the adapters.
//
// String values are written as CBOR byte strings, because ids and header values come from callers
// and endpoints and need not be valid UTF-8, as CBOR text strings must be.
//
// Sections:
//   [1] Limits
//   [2] Structure check of received bytes
//   [3] Writer and reader of fields
//   [4] Encoding and decoding
#pragma once

#include "adapters/adapters.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <type_traits>

namespace monsoonledge::peercodec {

using nlohmann::json;

// [1] Limits

constexpr std::size_t MaxNameBytes = 256; // ids other than request ids, authors, reasons
// Exceeds the usual lengths of content types and details, which may be copied from a response
// header of an endpoint. An answer with a longer one cannot be encoded.
constexpr std::size_t MaxTextBytes = 16 * 1024;
constexpr std::size_t MaxSheetBytes = MaxStoreValueBytes;
// 8,192 claims with the longest ids take about 600 KiB, which fits into one websocket message.
constexpr std::size_t MaxClaims = 8192;
constexpr std::uint64_t MaxUnits = 0xffff; // bit mask of 16 share units
// Deadlines are at most 60 s, and a receiver treats all longer predicted waits alike.
constexpr Duration MaxDuration = std::chrono::hours(24);
// The claim message has the deepest nesting: map, list of claims, claim.
constexpr std::size_t MaxDepth = 3;
// The largest message is a claim list, with three items for each claim. The limit bounds the memory
// of a parsed message: an item of one byte takes 16 bytes once parsed.
constexpr std::size_t MaxItems = 3 * MaxClaims + 64;
constexpr std::uint64_t MaxInt = std::numeric_limits<int>::max();
constexpr std::uint64_t MaxU64 = std::numeric_limits<std::uint64_t>::max();

// [2] Structure check of received bytes

[[noreturn]] inline void throwInvalid(const std::string &reason)
{
    throw std::runtime_error("invalid peer message: " + reason);
}

/// Returns the number of fields of the top-level map. Throws on input that the encoder never
/// produces. This must run before json::from_cbor.
inline std::size_t checkStructure(const std::string &bytes)
{
    try {
        const CborItem message = checkCbor(bytes, {MaxDepth, MaxItems});
        if (message.type != CborType::Map)
            throwInvalid("message is not a map");
        return message.size;
    } catch (const std::invalid_argument &error) {
        throwInvalid(error.what());
    }
}

// [3] Writer and reader of fields. Both have the same member functions, so that one function
// template lists the fields of a message for encoding and decoding.

inline json toBinary(const std::string &text)
{
    return json::binary(json::binary_t::container_type(text.begin(), text.end()));
}

inline std::string fromBinary(const json &value)
{
    const json::binary_t &binary = value.get_binary();
    return {binary.begin(), binary.end()};
}

class Writer
{
public:
    explicit Writer(const char *type) { map_["type"] = type; }

    std::string bytes() const
    {
        std::string out;
        json::to_cbor(map_, out);
        return out;
    }

    template<typename T> void number(const char *key, T value, std::uint64_t min, std::uint64_t max)
    {
        if constexpr (std::is_signed_v<T>)
            require(value >= 0, key);
        const auto number = static_cast<std::uint64_t>(value);
        require(number >= min && number <= max, key);
        map_[key] = number;
    }
    template<typename T> void enumeration(const char *key, T value, T last)
    {
        number(key, static_cast<int>(value), 0, static_cast<std::uint64_t>(last));
    }
    void boolean(const char *key, bool value) { map_[key] = value; }
    void duration(const char *key, Duration value)
    {
        map_[key] = static_cast<std::uint64_t>(std::clamp(value, Duration(0), MaxDuration).count());
    }
    void text(const char *key, const std::string &value, std::size_t min, std::size_t max)
    {
        require(value.size() >= min && value.size() <= max, key);
        map_[key] = toBinary(value);
    }
    template<typename Tag>
    void id(const char *key, const StringId<Tag> &value, std::size_t min = 1,
            std::size_t max = MaxNameBytes)
    {
        text(key, value.str(), min, max);
    }
    void claims(const char *key, const std::vector<Claim> &value)
    {
        require(value.size() <= MaxClaims, key);
        json list = json::array();
        for (const Claim &claim : value) {
            require(!claim.id.isEmpty() && claim.id.str().size() <= MaxRequestIdBytes, key);
            list.push_back(json::array({toBinary(claim.id.str()), claim.finished}));
        }
        map_[key] = std::move(list);
    }

private:
    static void require(bool valid, const char *key)
    {
        if (!valid)
            throw std::invalid_argument(
                    std::string("peer message not encoded, field out of range: ") + key);
    }

    json map_ = json::object();
};

class Reader
{
public:
    /// Throws std::runtime_error or json::exception unless the message is a well-formed map with a
    /// type.
    explicit Reader(const std::string &bytes)
    {
        const std::size_t fieldCount = checkStructure(bytes);
        map_ = json::from_cbor(bytes);
        // With a repeated key the parsed map has fewer entries than the message declares.
        if (!map_.is_object() || map_.size() != fieldCount)
            throwInvalid("repeated field");
        const json &value = readField("type");
        if (!value.is_string())
            throwInvalid("field type is not a string");
        type_ = value.get<std::string>();
    }

    const std::string &type() const { return type_; }
    void requireNoUnknownFields() const
    {
        if (fieldsRead_ != map_.size())
            throwInvalid("unknown field in " + type_);
    }

    template<typename T>
    void number(const char *key, T &value, std::uint64_t min, std::uint64_t max)
    {
        const json &field = readField(key);
        require(field.is_number_unsigned(), key);
        const auto number = field.get<std::uint64_t>();
        require(number >= min && number <= max, key);
        value = static_cast<T>(number);
    }
    template<typename T> void enumeration(const char *key, T &value, T last)
    {
        int number = 0;
        this->number(key, number, 0, static_cast<std::uint64_t>(last));
        value = static_cast<T>(number);
    }
    void boolean(const char *key, bool &value)
    {
        const json &field = readField(key);
        require(field.is_boolean(), key);
        value = field.get<bool>();
    }
    void duration(const char *key, Duration &value)
    {
        std::int64_t count = 0;
        number(key, count, 0, static_cast<std::uint64_t>(MaxDuration.count()));
        value = Duration(count);
    }
    void text(const char *key, std::string &value, std::size_t min, std::size_t max)
    {
        const json &field = readField(key);
        require(field.is_binary(), key);
        const std::size_t size = field.get_binary().size();
        require(size >= min && size <= max, key);
        value = fromBinary(field);
    }
    template<typename Tag>
    void id(const char *key, StringId<Tag> &value, std::size_t min = 1,
            std::size_t max = MaxNameBytes)
    {
        std::string name;
        text(key, name, min, max);
        value = StringId<Tag>(std::move(name));
    }
    void claims(const char *key, std::vector<Claim> &value)
    {
        const json &list = readField(key);
        require(list.is_array() && list.size() <= MaxClaims, key);
        value.reserve(list.size());
        for (const json &item : list) {
            require(item.is_array() && item.size() == 2 && item[0].is_binary()
                            && item[1].is_boolean(),
                    key);
            std::string id = fromBinary(item[0]);
            require(!id.empty() && id.size() <= MaxRequestIdBytes, key);
            value.push_back({RequestId(std::move(id)), item[1].get<bool>()});
        }
    }

private:
    static void require(bool valid, const char *key)
    {
        if (!valid)
            throwInvalid(std::string("wrong type or value out of range in field ") + key);
    }
    const json &readField(const char *key)
    {
        const auto found = map_.find(key);
        if (found == map_.end())
            throwInvalid(std::string("missing field ") + key);
        ++fieldsRead_;
        return *found;
    }

    json map_;
    std::string type_;
    std::size_t fieldsRead_ = 0;
};

// [4] Encoding and decoding

template<typename M>
std::string encode(const char *type, const M &message, void (*fields)(Writer &, const M &))
{
    Writer writer(type);
    fields(writer, message);
    return writer.bytes();
}

/// Calls the handler only after the whole message has been checked.
template<typename M>
void decode(Reader &reader, void (*fields)(Reader &, M &),
            const std::function<void(const M &)> &handler)
{
    M message;
    fields(reader, message);
    reader.requireNoUnknownFields();
    if (handler)
        handler(message);
}

/// Reads the structure of a message. Throws std::runtime_error if it is malformed.
inline Reader readMessage(const std::string &bytes)
{
    // json::exception does not derive from std::runtime_error.
    try {
        return Reader(bytes);
    } catch (const json::exception &error) {
        throwInvalid(error.what());
    }
}

} // namespace monsoonledge::peercodec
