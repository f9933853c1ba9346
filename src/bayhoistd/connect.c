/* SPDX-License-Identifier: BSD-3-Clause */
/* Connections that the daemon opens over HTTP. */
#include "daemon.h"

#include "bayhoist/address.h"
#include "web.h"
#include "web_call.h"

/* Returns a connection to "IP:port" that is opened with its first request. */
struct evhttp_connection *connect_open(Daemon *d, const char *address, bool tls)
{
	char ip[64] = "";
	uint16_t port = 0;
	struct evhttp_connection *conn;

	bh__address_split(address, ip, sizeof ip, &port);
	conn = evhttp_connection_base_bufferevent_new(d->base, NULL, tls ? tls_client_bufferevent(d) : NULL, ip,
												  port);
	evhttp_connection_set_max_headers_size(conn, WEB_ANSWER_HEAD_MAX);
	return conn;
}
