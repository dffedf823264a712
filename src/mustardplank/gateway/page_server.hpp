#pragma once

#include "mustardplank/gateway/types.hpp"

#include <functional>
#include <memory>
#include <string>

namespace mustardplank::gateway {

struct Page
{
  unsigned status = 200;
  std::string body;
};

/// Answers GET requests with pages made on the spot: readiness and metrics. What is posted goes to
/// aTake, if there is one, which answers later.
class PageServer
{
public:
  using Make = std::function<Page(const std::string& aPath)>;
  using Done = std::function<void(Page aPage)>;
  using Take = std::function<void(const std::string& aPath, std::string aBody, Done aDone)>;

  /// Throws std::system_error when the address cannot be bound.
  PageServer(boost::asio::io_context& aIo,
             const Tcp::endpoint& aEndpoint,
             Make aMake,
             Take aTake = nullptr);
  ~PageServer();
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  void stop();

private:
  struct Shared;
  std::shared_ptr<Shared> mShared;
};

}
