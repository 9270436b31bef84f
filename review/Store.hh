/// The platform's store: a log with keyed topics, as the pages describe it. It never fails.
#pragma once

#include "Http.hh"

#include <json/json.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace StandIn {

inline std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class Store
{
public:
    static constexpr std::size_t maxRecordBytes = 262144;
    static constexpr std::size_t maxCallBytes = 2097152;
    static constexpr int pageItems = 500;
    static constexpr std::size_t pageBytes = 1'000'000;

    explicit Store(const std::string &ip)
        : m_ip(ip)
    {
        m_server.start(ip, 0, [this](const Request &request) { return answer(request); });
    }

    ~Store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_appended.notify_all();
        m_server.stop();
    }

    std::string address() const { return m_ip + ':' + std::to_string(m_server.port()); }

    /// What the operator and the workers write.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        append(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
        m_appended.notify_all();
    }

    /// The value of a key of a topic; empty if there is none.
    std::string newest(const std::string &topic, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_topics[topic].newest.find(key);
        return found == m_topics[topic].newest.end() ? "" : found->second.second;
    }

private:
    struct Topic
    {
        std::vector<std::string> records;
        /// Offset and value by key.
        std::map<std::string, std::pair<std::int64_t, std::string>> newest;
        struct Producer
        {
            std::int64_t epoch = -1;
            std::int64_t sequence = -1;
            /// Answers to the last appends by sequence.
            std::map<std::int64_t, std::string> answers;
        };
        std::map<std::string, Producer> producers;
    };

    static void append(Topic &topic, const std::string &content)
    {
        const auto offset = static_cast<std::int64_t>(topic.records.size());
        topic.records.push_back(content);
        const std::size_t length = static_cast<unsigned char>(content[0]);
        const std::string key = content.substr(1, length);
        const std::string value = content.substr(1 + length);
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { offset, value };
    }

    Response answer(const Request &request)
    {
        if (request.path == "/log-append")
            return answerAppend(request);
        if (request.path == "/log-read")
            return answerRead(request);
        if (request.path == "/log-newest")
            return answerNewest(request);
        return { 400, "{}" };
    }

    static std::string parameter(const Request &request, const std::string &name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    Response answerAppend(const Request &request)
    {
        const std::string name = parameter(request, "topic");
        if (name == "keyed.op" || name == "keyed.servers")
            return { 403, "{}" };
        std::vector<std::string> records;
        std::size_t position = 0;
        while (position + 4 <= request.body.size()) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(request.body[position + i]);
            records.push_back(request.body.substr(position + 4, length));
            if (length > maxRecordBytes)
                return { 400, "{}" };
            position += 4 + length;
        }
        if (request.body.size() > maxCallBytes)
            return { 400, "{}" };
        std::this_thread::sleep_for(std::chrono::milliseconds(4));
        const std::lock_guard lock(m_mutex);
        Topic &topic = m_topics[name];
        const auto end = static_cast<std::int64_t>(topic.records.size());
        const std::string at = parameter(request, "at");
        if (!at.empty() && std::stoll(at) != end)
            return { 412, "{\"end\":" + std::to_string(end) + '}' };
        Topic::Producer *producer = nullptr;
        std::int64_t sequence = 0;
        if (!parameter(request, "producer").empty()) {
            producer = &topic.producers[parameter(request, "producer")];
            const std::int64_t epoch = std::stoll(parameter(request, "epoch"));
            sequence = std::stoll(parameter(request, "sequence"));
            if (epoch < producer->epoch)
                return { 409, R"({"reason":"fenced"})" };
            if (epoch > producer->epoch) {
                producer->epoch = epoch;
                producer->sequence = -1;
                producer->answers.clear();
            } else if (producer->answers.contains(sequence)) {
                return { 200, producer->answers[sequence] };
            } else if (producer->sequence >= 0 && sequence != producer->sequence + 1) {
                return { 409,
                         R"({"reason":"seq","sequence":)" + std::to_string(producer->sequence + 1)
                             + '}' };
            }
        }
        if (records.empty())
            return { 200, "{\"end\":" + std::to_string(end) + '}' };
        for (const std::string &record : records)
            append(topic, record);
        const std::string body = "{\"offset\":" + std::to_string(end)
            + ",\"end\":" + std::to_string(topic.records.size()) + '}';
        if (producer) {
            producer->sequence = sequence;
            producer->answers[sequence] = body;
            while (producer->answers.size() > 5)
                producer->answers.erase(producer->answers.begin());
        }
        m_appended.notify_all();
        return { 200, body };
    }

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(number >> (8 * i) & 255);
        return text;
    }

    Response answerRead(const Request &request)
    {
        const std::string wait = parameter(request, "waitMs");
        const std::string kb = parameter(request, "maxKb");
        const auto until
            = Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
        const std::size_t most = (kb.empty() ? 1024 : std::stoul(kb)) * 1024;
        std::unique_lock lock(m_mutex);
        Topic &topic = m_topics[parameter(request, "topic")];
        auto from = std::stoul(parameter(request, "from"));
        m_appended.wait_until(lock, until,
                              [&] { return m_isStopping || topic.records.size() > from; });
        std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
        for (bool isFirst = true; from < topic.records.size(); ++from, isFirst = false) {
            const std::string &record = topic.records[from];
            if (!isFirst && body.size() + record.size() > most)
                break;
            body += bigEndian(record.size(), 4) + record;
        }
        return { 200, body };
    }

    Response answerNewest(const Request &request)
    {
        const std::lock_guard lock(m_mutex);
        Topic &topic = m_topics[parameter(request, "topic")];
        Json::Value value(Json::objectValue);
        value["items"] = Json::Value(Json::arrayValue);
        value["hasMore"] = false;
        value["end"] = Json::Int64(topic.records.size());
        std::size_t bytes = 0;
        for (auto it = topic.newest.upper_bound(parameter(request, "after"));
             it != topic.newest.end(); ++it) {
            if (value["items"].size() >= pageItems || bytes > pageBytes) {
                value["hasMore"] = true;
                break;
            }
            Json::Value item(Json::objectValue);
            item["key"] = it->first;
            item["offset"] = Json::Int64(it->second.first);
            item["value"] = encodeBase64(it->second.second);
            bytes += it->second.second.size();
            value["items"].append(item);
        }
        return { 200, writeJson(value) };
    }

    std::string m_ip;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, Topic> m_topics;
    bool m_isStopping = false;
    HttpServer m_server;
};

} // namespace StandIn
