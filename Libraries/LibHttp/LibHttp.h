#pragma once

/// LibHttp: an HTTP server and client based on libwebsockets, running on the event loop of LibCore.

#include "HttpClient.h"
#include "HttpContext.h"
#include "HttpMessages.h"
#include "HttpServer.h"
