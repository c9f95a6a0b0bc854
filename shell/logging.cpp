#include "logging.hpp"

#include <iostream>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <easylogging++.h>

#include "json_text.hpp"

INITIALIZE_EASYLOGGINGPP

namespace plantainpoint {

namespace {

constexpr const char *loggerName = "plantainpoint";

constexpr const char *textFormat = "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg";
constexpr const char *jsonFormat = R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}","level":"%level",%msg})";

std::string textMessage(log_component from, std::string_view text, const std::optional<request_label> &label)
{
    std::string out;
    out += '[';
    out += nameOf(from);
    out += "] ";
    if (label) {
        out += toString(*label);
        out += ' ';
    }
    out += text;
    return out;
}

std::string jsonMessage(log_component from, std::string_view text, const std::optional<request_label> &label)
{
    std::string out = R"("part":")";
    out += nameOf(from);
    out += '"';
    if (label) {
        out += R"(,"request":")";
        appendJsonEscaped(out, toString(*label));
        out += '"';
    }
    out += R"(,"text":")";
    appendJsonEscaped(out, text);
    out += '"';
    return out;
}

} // namespace

line_logger::line_logger(severity level, log_format format)
    : m_level(level)
    , m_format(format)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, format == log_format::Json ? jsonFormat : textFormat);
    el::Loggers::getLogger(loggerName);
    el::Loggers::reconfigureLogger(loggerName, configuration);
}

void line_logger::setNonBlocking()
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

// Clears the error state of the stream. After a write that would have blocked, the stream rejects all further output.
void line_logger::recoverStream() const
{
    if (std::cout.good()) {
        return;
    }
    ++m_lostLines;
    std::cout.clear();
}

void line_logger::write(const log_line &line) const
{
    write(line.level, line.from, line.text, line.label);
}

void line_logger::write(severity level, log_component from, std::string_view text, const std::optional<request_label> &label) const
{
    if (level < m_level) {
        return;
    }
    recoverStream();
    const std::string textWithLoss = m_lostLines > 0 ? std::string(text) + " lost_lines=" + std::to_string(m_lostLines) : std::string(text);
    const auto message = m_format == log_format::Json ? jsonMessage(from, textWithLoss, label) : textMessage(from, textWithLoss, label);
    switch (level) {
    case severity::Debug:
        CLOG(DEBUG, loggerName) << message;
        break;
    case severity::Info:
        CLOG(INFO, loggerName) << message;
        break;
    case severity::Warning:
        CLOG(WARNING, loggerName) << message;
        break;
    case severity::Error:
        CLOG(ERROR, loggerName) << message;
        break;
    }
    if (std::cout.good()) {
        m_lostLines = 0;
    }
}

} // namespace plantainpoint
