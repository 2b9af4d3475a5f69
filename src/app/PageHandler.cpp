#include "app/PageHandler.h"

namespace greengagestair {

PageHandler::PageHandler(Page page, Send send)
    : m_page(std::move(page))
    , m_send(std::move(send))
{
}

void PageHandler::onRequest(ExchangeId exchange, HttpServerRequest request)
{
    m_send(exchange, m_page(request.target));
}

} // namespace greengagestair
