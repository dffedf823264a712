#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace mustardplank {

/// A Beast body that hands each piece to a function instead of storing it, without a copy.
struct SinkBody
{
  /// Returns false to stop reading.
  using value_type = // NOLINT(readability-identifier-naming): name that Beast requires
    std::function<bool(std::string_view)>;

  class reader // NOLINT(readability-identifier-naming): name that Beast requires
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& aSink)
      : mSink(aSink)
    {
    }

    void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& aError)
    {
      aError = {};
    }

    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      std::size_t n = 0;
      aError = {};
      for (const boost::asio::const_buffer it : boost::beast::buffers_range_ref(aBuffers)) {
        if (!mSink({ static_cast<const char*>(it.data()), it.size() })) {
          aError = make_error_code(boost::system::errc::protocol_error);
          return n;
        }
        n += it.size();
      }
      return n;
    }

    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& mSink;
  };
};

}
