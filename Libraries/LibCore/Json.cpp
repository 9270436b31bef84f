#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>

namespace Core::Json {

static constexpr int maximumDepth = 64;

static ::Json::CharReader *makeReader()
{
    ::Json::CharReaderBuilder builder;
    ::Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maximumDepth;
    return builder.newCharReader();
}

static ::Json::StreamWriterBuilder makeWriterBuilder()
{
    ::Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
}

namespace {

/// Counts what decoding a text would take, without decoding it.
class LimitScanner
{
public:
    void scan(std::string_view text)
    {
        bool isInString = false;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char character = text[i];
            if (isInString) {
                if (character == '\\')
                    ++i;
                isInString = character != '"';
                continue;
            }
            isInString = character == '"';
            countOutsideString(character);
        }
    }

    std::size_t values() const { return m_values; }
    std::size_t maxDepth() const { return m_maxDepth; }
    std::size_t maxWordLength() const { return m_maxWordLength; }

private:
    void countOutsideString(char character)
    {
        static constexpr std::string_view punctuation = "\",:[]{} \t\r\n";
        const bool isWord = punctuation.find(character) == std::string_view::npos;
        m_wordLength = isWord ? m_wordLength + 1 : 0;
        m_maxWordLength = std::max(m_maxWordLength, m_wordLength);
        const bool isOpening = character == '[' || character == '{';
        const bool isClosing = character == ']' || character == '}';
        if (isOpening || character == ',')
            ++m_values;
        if (isOpening)
            m_maxDepth = std::max(m_maxDepth, ++m_depth);
        if (isClosing && m_depth > 0)
            --m_depth;
    }

    std::size_t m_values = 1;
    std::size_t m_depth = 0;
    std::size_t m_maxDepth = 0;
    std::size_t m_wordLength = 0;
    std::size_t m_maxWordLength = 0;
};

} // namespace

void checkLimits(std::string_view text, const std::string &peer, const ClientLimits &limits)
{
    LimitScanner scanner;
    scanner.scan(text);
    if (scanner.values() > limits.values)
        throw FormatError("parse JSON", peer, "the text has too many values");
    if (scanner.maxDepth() > limits.depth)
        throw FormatError("parse JSON", peer, "the text is nested too deeply");
    if (scanner.maxWordLength() > limits.wordLength)
        throw FormatError("parse JSON", peer, "the text has too long a number");
}

::Json::Value parse(std::string_view text, const std::string &peer)
{
    if (text.size() > maximumTextBytes)
        throw FormatError("parse JSON", peer, "the text is too long");
    // Creating a reader takes longer than parsing most texts.
    thread_local const std::unique_ptr<::Json::CharReader> reader(makeReader());
    ::Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    } catch (const ::Json::Exception &exception) {
        // The reader throws instead of reporting when the nesting exceeds its limit.
        errors = exception.what();
    }
    throw FormatError("parse JSON", peer, errors);
}

std::string write(const ::Json::Value &value)
{
    thread_local const ::Json::StreamWriterBuilder builder = makeWriterBuilder();
    return ::Json::writeString(builder, value);
}

static const ::Json::Value &member(const ::Json::Value &object, const char *name)
{
    if (!object.isObject())
        throw FormatError("read JSON", name, "the enclosing value is no object");
    const ::Json::Value &value = object[name];
    if (value.isNull())
        throw FormatError("read JSON", name, "the member is missing");
    return value;
}

std::string stringMember(const ::Json::Value &object, const char *name)
{
    const ::Json::Value &value = member(object, name);
    if (!value.isString())
        throw FormatError("read JSON", name, "the member is no string");
    return value.asString();
}

std::int64_t integerMember(const ::Json::Value &object, const char *name)
{
    const ::Json::Value &value = member(object, name);
    if (!value.isInt64())
        throw FormatError("read JSON", name, "the member is no integer");
    return value.asInt64();
}

bool booleanMember(const ::Json::Value &object, const char *name)
{
    const ::Json::Value &value = member(object, name);
    if (!value.isBool())
        throw FormatError("read JSON", name, "the member is no boolean");
    return value.asBool();
}

const ::Json::Value &arrayMember(const ::Json::Value &object, const char *name)
{
    const ::Json::Value &value = member(object, name);
    if (!value.isArray())
        throw FormatError("read JSON", name, "the member is no array");
    return value;
}

} // namespace Core::Json
