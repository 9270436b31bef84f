#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace Http {

/// Parses one response and keeps its body only: nobody reads the fields of an answer, and to keep
/// them takes an allocation for each.
class AnswerParser final : public boost::beast::http::basic_parser<false>
{
public:
    unsigned status() const { return m_status; }
    /// May be called once the message is complete.
    std::string takeBody() { return std::move(m_body); }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, Error &) override { }
    void on_response_impl(int status, Text, int, Error &) override
    {
        m_status = static_cast<unsigned>(status);
    }
    void on_field_impl(boost::beast::http::field, Text, Text, Error &) override { }
    void on_header_impl(Error &) override { }
    // What the peer announces reserves no memory.
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Error &) override { }
    std::size_t on_body_impl(Text part, Error &) override
    {
        m_body.append(part.data(), part.size());
        return part.size();
    }
    void on_chunk_header_impl(std::uint64_t, Text, Error &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text part, Error &error) override
    {
        return on_body_impl(part, error);
    }
    void on_finish_impl(Error &) override { }

    unsigned m_status = 0;
    std::string m_body;
};

} // namespace Http
