#include "yaml/yaml.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

namespace monsoonledge {

namespace {

[[noreturn]] void throwFinding(const std::string &file, const YAML::Mark &mark,
                               const std::string &message)
{
    Place place{file, 0, 0};
    if (!mark.is_null())
        place = {file, mark.line + 1, mark.column + 1};
    throw FindingsError({{place, message}});
}

/// Builds the node tree of one document from the events of the yaml-cpp parser.
class TreeBuilder : public YAML::EventHandler
{
public:
    explicit TreeBuilder(const std::string &file) : file_(file) { }

    YamlNode takeRoot() { return std::move(root_); }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        if (++documents_ > 1)
            throwFinding(file_, mark,
                         "a second YAML document begins here: write one document, without '---' or "
                         "'...' between its parts");
    }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t) override
    {
        YamlNode &node = addNode(mark);
        // yaml-cpp gives an empty value the position of the next token, often on another line, so
        // the position of the key is used instead.
        if (openCollections_.empty() || openCollections_.back().node->kind != YamlNode::Kind::Map
            || !openCollections_.back().expectsKey)
            return;
        const YamlNode &key = openCollections_.back().node->entries.back().key;
        node.line = key.line;
        node.column = key.column;
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        throwFinding(file_, mark, "aliases are not supported: write the value out in full");
    }
    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t,
                  const std::string &value) override
    {
        rejectTag(mark, tag);
        YamlNode &node = addNode(mark);
        node.kind = YamlNode::Kind::Scalar;
        node.scalar = value;
        node.quoted = tag == "!";
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
        rejectTag(mark, tag);
        openCollection(mark, YamlNode::Kind::List);
    }
    void OnSequenceEnd() override { openCollections_.pop_back(); }
    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
        rejectTag(mark, tag);
        openCollection(mark, YamlNode::Kind::Map);
    }
    void OnMapEnd() override { openCollections_.pop_back(); }

private:
    /// A list or map whose end event has not come yet.
    struct OpenCollection
    {
        YamlNode *node;
        bool expectsKey = true; // the next node of a map is a key, not a value
    };

    void rejectTag(const YAML::Mark &mark, const std::string &tag)
    {
        // yaml-cpp marks plain scalars with the tag "?" and quoted scalars with "!".
        if (!tag.empty() && tag != "?" && tag != "!")
            throwFinding(file_, mark,
                         "tags such as '" + tag + "' are not supported: remove the tag");
    }

    /// Adds a node to the innermost open list or map, or makes it the root.
    YamlNode &addNode(const YAML::Mark &mark)
    {
        YamlNode *node = &root_;
        if (!openCollections_.empty()) {
            OpenCollection &parent = openCollections_.back();
            if (parent.node->kind == YamlNode::Kind::List) {
                node = &parent.node->items.emplace_back();
            } else if (parent.expectsKey) {
                node = &parent.node->entries.emplace_back().key;
                parent.expectsKey = false;
            } else {
                node = &parent.node->entries.back().value;
                parent.expectsKey = true;
            }
        }
        node->line = mark.line + 1;
        node->column = mark.column + 1;
        return *node;
    }

    void openCollection(const YAML::Mark &mark, YamlNode::Kind kind)
    {
        YamlNode &node = addNode(mark);
        node.kind = kind;
        openCollections_.push_back({&node});
    }

    const std::string &file_;
    YamlNode root_;
    std::vector<OpenCollection> openCollections_; // innermost last
    int documents_ = 0;
};

/// Returns the Levenshtein distance of two words: the least number of single-character insertions,
/// deletions and substitutions that turn one into the other.
std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
            diagonal = above;
        }
    }
    return row.back();
}

/// Returns the advice for an unknown key: the most similar known key, or all known keys if none is
/// similar.
std::string suggestKey(const std::string &key, const std::vector<std::string> &knownKeys)
{
    const std::size_t maxDistance = 2;
    std::string all;
    const std::string *best = nullptr;
    std::size_t bestDistance = maxDistance + 1;
    for (const std::string &candidate : knownKeys) {
        all += (all.empty() ? "" : ", ") + candidate;
        // The distance of long keys is not computed: its cost grows with the product of the
        // lengths.
        if (key.size() > 2 * MaxNameLength)
            continue;
        const std::size_t distance = editDistance(key, candidate);
        if (distance < bestDistance) {
            best = &candidate;
            bestDistance = distance;
        }
    }
    return best != nullptr ? "write '" + *best + "'" : "remove it or write one of: " + all;
}

/// Describes the value of a node for a finding. Long scalars are shortened.
std::string describeNode(const YamlNode &node)
{
    switch (node.kind) {
    case YamlNode::Kind::Null:
        return "empty";
    case YamlNode::Kind::List:
        return "a list";
    case YamlNode::Kind::Map:
        return "a map";
    case YamlNode::Kind::Scalar:
        break;
    }
    const std::size_t maxShownBytes = 80;
    std::string text = node.scalar.substr(0, maxShownBytes);
    if (node.scalar.size() > maxShownBytes)
        text += "...";
    return node.quoted ? "the quoted text \"" + text + '"' : "'" + text + "'";
}

/// Parses a number that takes up all of the text. Returns false if it does not.
template<typename T> bool parseEntireText(const std::string &text, T &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

} // namespace

YamlNode parseYaml(const std::string &text, const std::string &file)
{
    TreeBuilder builder(file);
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        while (parser.HandleNextDocument(builder)) { }
    } catch (const YAML::Exception &error) {
        throwFinding(file, error.mark,
                     "wrong YAML syntax: " + error.msg
                             + "; correct the indentation, colon, quote or bracket at this place");
    }
    return builder.takeRoot();
}

std::string readTextFile(const std::string &path, std::size_t maxBytes)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text;
    if (stream) {
        text.resize(maxBytes + 1);
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(stream.gcount()));
    }
    if (!stream.eof())
        throw FindingsError({{{path, 0, 0},
                              "cannot be read or is too large: give the path of a readable "
                              "file of at most "
                                      + std::to_string(maxBytes) + " bytes"}});
    return text;
}

void YamlFindings::add(const YamlNode &node, const std::string &message)
{
    findings_.push_back({{file_, node.line, node.column}, message});
}

void YamlFindings::throwIfAny()
{
    if (findings_.empty())
        return;
    std::stable_sort(findings_.begin(), findings_.end(), [](const Finding &a, const Finding &b) {
        return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
    });
    throw FindingsError(std::move(findings_));
}

bool isValidName(const std::string &text, std::size_t maxLength)
{
    const auto isAlphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    if (text.empty() || text.size() > maxLength || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char c) {
        return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
    });
}

std::string readName(const YamlNode &node, const std::string &subject, YamlFindings &findings,
                     std::size_t maxLength)
{
    if (node.kind == YamlNode::Kind::Scalar && isValidName(node.scalar, maxLength))
        return node.scalar;
    findings.add(node,
                 subject + " is " + describeNode(node) + ": write a name of 1 to "
                         + std::to_string(maxLength)
                         + " letters, digits, '-', '_' or '.', beginning with a letter or digit");
    return std::string();
}

YamlMapReader::YamlMapReader(const YamlNode &node, std::string pathPrefix, YamlFindings &findings)
    : node_(node), pathPrefix_(std::move(pathPrefix)), findings_(findings)
{
    if (node.kind != YamlNode::Kind::Map) {
        const std::string name =
                pathPrefix_.empty() ? "this" : pathPrefix_.substr(0, pathPrefix_.size() - 1);
        findings_.add(node_,
                      name + " is " + describeNode(node) + ": write a map of 'key: value' lines");
        return;
    }
    std::set<std::string> seen;
    for (const YamlEntry &entry : node.entries) {
        if (entry.key.kind != YamlNode::Kind::Scalar)
            findings_.add(entry.key, "this key is " + describeNode(entry.key) + ": write a word");
        else if (!seen.insert(entry.key.scalar).second)
            findings_.add(entry.key,
                          quotedKeyPath(entry.key.scalar) + " is repeated: write it once");
    }
}

void YamlMapReader::requireKeys(const std::vector<std::string> &keys)
{
    if (node_.kind != YamlNode::Kind::Map)
        return;
    for (const std::string &key : keys) {
        const bool found =
                std::any_of(node_.entries.begin(), node_.entries.end(),
                            [&](const YamlEntry &entry) { return entry.key.scalar == key; });
        if (!found)
            findings_.add(node_, quotedKeyPath(key) + " is missing: write '" + key + ": ...' here");
    }
}

void YamlMapReader::reportUnknownKeys()
{
    for (const YamlEntry &entry : node_.entries) {
        const std::string &key = entry.key.scalar;
        if (entry.key.kind == YamlNode::Kind::Scalar
            && std::find(knownKeys_.begin(), knownKeys_.end(), key) == knownKeys_.end())
            findings_.add(entry.key, "unknown key " + describeNode(entry.key) + ": "
                                             + suggestKey(key, knownKeys_));
    }
}

const YamlNode &YamlMapReader::valueOrMap(const std::string &key) const
{
    for (const YamlEntry &entry : node_.entries) {
        if (entry.key.scalar == key)
            return entry.value;
    }
    return node_;
}

const YamlNode *YamlMapReader::find(const std::string &key)
{
    const bool lookedUpBefore =
            std::find(knownKeys_.begin(), knownKeys_.end(), key) != knownKeys_.end();
    if (!lookedUpBefore)
        knownKeys_.push_back(key);
    const YamlNode &value = valueOrMap(key);
    if (&value == &node_)
        return nullptr;
    if (value.kind == YamlNode::Kind::Null) {
        if (!lookedUpBefore)
            report(key, quotedKeyPath(key) + " has no value: write one or remove the key");
        return nullptr;
    }
    return &value;
}

const std::vector<YamlNode> *YamlMapReader::findList(const std::string &key)
{
    const YamlNode *value = find(key);
    if (value == nullptr)
        return nullptr;
    if (value->kind != YamlNode::Kind::List) {
        reportValue(key, *value, "a list, one '- ...' per item, or [] for none");
        return nullptr;
    }
    return &value->items;
}

bool YamlMapReader::readString(const std::string &key, std::string &value)
{
    const YamlNode *node = findScalar(key, "a text");
    if (node != nullptr)
        value = node->scalar;
    return node != nullptr;
}

bool YamlMapReader::readName(const std::string &key, std::string &value, std::size_t maxLength)
{
    const YamlNode *node = find(key);
    if (node == nullptr)
        return false;
    const std::string name =
            monsoonledge::readName(*node, quotedKeyPath(key), findings_, maxLength);
    if (!name.empty())
        value = name;
    return !name.empty();
}

bool YamlMapReader::readBool(const std::string &key, bool &value)
{
    const std::string expected = "true or false, without quotes";
    const YamlNode *node = findScalar(key, expected);
    if (node == nullptr)
        return false;
    if (node->quoted || (node->scalar != "true" && node->scalar != "false")) {
        reportValue(key, *node, expected);
        return false;
    }
    value = node->scalar == "true";
    return true;
}

bool YamlMapReader::readInteger(const std::string &key, std::int64_t &value, std::int64_t min,
                                std::int64_t max)
{
    const std::string expected =
            "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    const YamlNode *node = findScalar(key, expected);
    if (node == nullptr)
        return false;
    std::int64_t number = 0;
    if (node->quoted || !parseEntireText(node->scalar, number) || number < min || number > max) {
        reportValue(key, *node, expected);
        return false;
    }
    value = number;
    return true;
}

bool YamlMapReader::readInteger(const std::string &key, int &value, int min, int max)
{
    std::int64_t number = 0;
    if (!readInteger(key, number, static_cast<std::int64_t>(min), static_cast<std::int64_t>(max)))
        return false;
    value = static_cast<int>(number);
    return true;
}

bool YamlMapReader::readNumber(const std::string &key, double &value, double min, double max)
{
    const std::string expected = "a number from " + formatNumber(min) + " to " + formatNumber(max);
    const YamlNode *node = findScalar(key, expected);
    if (node == nullptr)
        return false;
    double number = 0;
    // The negated form of the range check also rejects NaN, for which every comparison is false.
    if (node->quoted || !parseEntireText(node->scalar, number)
        || !(number >= min && number <= max)) {
        reportValue(key, *node, expected);
        return false;
    }
    value = number;
    return true;
}

bool YamlMapReader::readMilliseconds(const std::string &key, Duration &value, Duration min,
                                     Duration max)
{
    std::int64_t number = 0;
    if (!readInteger(key, number, std::chrono::duration_cast<milliseconds>(min).count(),
                     std::chrono::duration_cast<milliseconds>(max).count()))
        return false;
    value = milliseconds(number);
    return true;
}

void YamlMapReader::report(const std::string &key, const std::string &message)
{
    findings_.add(valueOrMap(key), message);
}

std::string YamlMapReader::quotedKeyPath(const std::string &key) const
{
    return "'" + pathPrefix_ + key + "'";
}

const YamlNode *YamlMapReader::findScalar(const std::string &key, const std::string &expected)
{
    const YamlNode *node = find(key);
    if (node != nullptr && node->kind != YamlNode::Kind::Scalar) {
        reportValue(key, *node, expected);
        return nullptr;
    }
    return node;
}

void YamlMapReader::reportValue(const std::string &key, const YamlNode &node,
                                const std::string &expected)
{
    findings_.add(node, quotedKeyPath(key) + " is " + describeNode(node) + ": write " + expected);
}

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.10g", value);
    return text;
}

} // namespace monsoonledge
