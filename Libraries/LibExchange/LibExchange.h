#pragma once

/// LibExchange: the HTTP/1.1 server and client for proxied requests, based on libuv and the parsers of Boost.Beast.

#include "CallerMemory.h"
#include "ClientCall.h"
#include "HttpMessage.h"
#include "HttpParsers.h"
#include "ServerConnection.h"
#include "TcpStream.h"
#include "Tunnel.h"
