/* SPDX-License-Identifier: BSD-3-Clause */
/* One HTTP call that waits for its answer. */
#include "fetch.h"

#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <glib.h>
#include <openssl/ssl.h>
#include <string.h>
#include "bayhoist/address.h"
#include "bayhoist/field.h"
#include "head_check.h"
#include "web.h"

#define DEFAULT_TIMEOUT_S 10

typedef struct {
	struct event_base *base;
	FetchReply *reply;
	HeadCheck *check;
} Waiting;

static void on_done_(struct evhttp_request *req, void *arg);
static struct bufferevent *tls_(struct event_base *base, SSL_CTX *ctx, const char *ca);

static void on_done_(struct evhttp_request *req, void *arg)
{
	Waiting *w = arg;
	const char *data;

	if (req && evhttp_request_get_response_code(req) && !head_check_get_fault(w->check)) {
		web_get_body(req, &data, &w->reply->len);
		w->reply->status = evhttp_request_get_response_code(req);
		w->reply->body = g_strndup(data, w->reply->len);
	}
	event_base_loopbreak(w->base);
}

static struct bufferevent *tls_(struct event_base *base, SSL_CTX *ctx, const char *ca)
{
	SSL_CTX_load_verify_locations(ctx, ca, NULL);
	SSL_CTX_set_verify(ctx, SSL_VERIFY_PEER, NULL);
	return bufferevent_openssl_socket_new(base, -1, SSL_new(ctx), BUFFEREVENT_SSL_CONNECTING,
										  BEV_OPT_CLOSE_ON_FREE);
}

/* Makes the call and waits. `reply->status` is 0 if no answer came; `reply->body` is never NULL. */
void fetch(const FetchCall *call, FetchReply *reply)
{
	char ip[64];
	uint16_t port;
	Waiting w = {.base = event_base_new(), .reply = reply};
	SSL_CTX *ctx = call->ca ? SSL_CTX_new(TLS_client_method()) : NULL;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	struct evkeyvalq *headers;

	memset(reply, 0, sizeof *reply);
	if (bh__address_split(call->address, ip, sizeof ip, &port)) {
		conn = evhttp_connection_base_bufferevent_new(w.base, NULL, ctx ? tls_(w.base, ctx, call->ca) : NULL,
													  ip, port);
		w.check = head_check_new(conn);
		req = evhttp_request_new(on_done_, &w);
		headers = evhttp_request_get_output_headers(req);
		evhttp_connection_set_timeout(conn, call->timeout_s ? call->timeout_s : DEFAULT_TIMEOUT_S);
		evhttp_add_header(headers, "Host", call->address);
		evhttp_add_header(headers, "Connection", "close");
		if (call->key) {
			char *bearer = g_strdup_printf("Bearer %s", call->key);
			evhttp_add_header(headers, "Authorization", bearer);
			g_free(bearer);
		}
		if (call->header_name)
			evhttp_add_header(headers, call->header_name, call->header_value);
		if (call->body)
			evbuffer_add(evhttp_request_get_output_buffer(req), call->body, strlen(call->body));
		if (evhttp_make_request(conn, req, call->method, call->path) == 0)
			event_base_dispatch(w.base);
		head_check_delete(w.check);
		evhttp_connection_free(conn);
	}
	event_base_free(w.base);
	SSL_CTX_free(ctx);
	if (!reply->body)
		reply->body = g_strdup("");
}

/* Makes the call; returns the answer's JSON, to be freed with json_object_put(), or NULL. */
struct json_object *fetch_json(const FetchCall *call, int *status)
{
	FetchReply reply;
	struct json_object *root;

	fetch(call, &reply);
	root = bh__json_parse(reply.body, reply.len, NULL);
	*status = reply.status;
	g_free(reply.body);
	return root;
}
