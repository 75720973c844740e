#pragma once

/// LibHttp: an HTTP server and client by libwebsockets, on the loop of LibCore.

#include "HttpClient.h"
#include "HttpContext.h"
#include "HttpMessages.h"
#include "HttpServer.h"
