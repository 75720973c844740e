#pragma once

/// LibExchange: HTTP/1.1 of the proxied requests on libuv, with the parsers of Boost.Beast.

#include "ClientCall.h"
#include "HttpMessage.h"
#include "HttpParsers.h"
#include "ServerConnection.h"
#include "TcpStream.h"
