#include "mustardplank/base/log_event.hpp"

#include "log_sink.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdio>

namespace mustardplank {

namespace {

bool
needsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const unsigned char c : aValue) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return false;
}

void
appendEscaped(std::string& aLine, unsigned char aChar)
{
  if (aChar == '"' || aChar == '\\') {
    aLine += '\\';
    aLine += static_cast<char>(aChar);
    return;
  }
  if (aChar >= ' ' && aChar != 0x7f) {
    aLine += static_cast<char>(aChar);
    return;
  }
  char buf[8];
  std::snprintf(buf, sizeof buf, "\\x%02x", aChar);
  aLine += buf;
}

log4cplus::Logger&
logger()
{
  static log4cplus::Logger instance = log4cplus::Logger::getInstance("mustardplank");
  return instance;
}

LogSink gSink = nullptr; // NOLINT(readability-identifier-naming)

log4cplus::LogLevel
toLibraryLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

}

LogEvent::LogEvent(LogLevel aLevel, std::string_view aName)
  : mLevel(aLevel)
{
  field("event", aName);
}

LogEvent&
LogEvent::field(std::string_view aKey, std::string_view aValue)
{
  if (!mLine.empty()) {
    mLine += ' ';
  }
  mLine.append(aKey);
  mLine += '=';
  const auto shown = aValue.substr(0, kMaxValueBytes);
  if (!needsQuotes(shown)) {
    mLine.append(shown);
  } else {
    mLine += '"';
    for (const char c : shown) {
      appendEscaped(mLine, static_cast<unsigned char>(c));
    }
    mLine += '"';
  }
  if (shown.size() < aValue.size()) {
    mLine += "...(" + std::to_string(aValue.size()) + "_bytes)";
  }
  return *this;
}

LogEvent&
LogEvent::field(std::string_view aKey, double aValue)
{
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f", aValue);
  return field(aKey, std::string_view(buf));
}

void
LogEvent::write() const
{
  if (gSink != nullptr) {
    gSink(mLevel, mLine);
    return;
  }
  auto& log = logger();
  const auto level = toLibraryLevel(mLevel);
  if (log.isEnabledFor(level)) {
    log.forcedLog(level, mLine);
  }
}

void
setLogSink(LogSink aSink)
{
  gSink = aSink;
}

void
startLogging(LogLevel aLevel, std::string_view aInstance)
{
  log4cplus::initialize();
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  const std::string pattern =
    "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p instance=" + std::string(aInstance) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(toLibraryLevel(aLevel));
}

}
