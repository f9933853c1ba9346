/* SPDX-License-Identifier: BSD-3-Clause */
/* Helpers over evhttp. */
#include "bayhoist/address.h"
#include "web.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

static void on_hangup_(evutil_socket_t fd, short what, void *conn);
static void on_signal_(evutil_socket_t sig, short what, void *base);

/* Sends `body`, which it frees. */
void web_reply_json(struct evhttp_request *req, int status, struct json_object *body)
{
	struct evbuffer *out = evbuffer_new();
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

	evbuffer_add(out, text, strlen(text));
	evbuffer_add(out, "\n", 1);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	json_object_put(body);
}

/* Sends an error in the API's usual form; `verdict` may be NULL. */
void web_reply_error(struct evhttp_request *req, int status, const char *verdict, const char *code,
					 const char *message)
{
	struct json_object *root = json_object_new_object();
	struct json_object *error = json_object_new_object();

	json_object_object_add(error, "message", json_object_new_string(message));
	json_object_object_add(error, "type", json_object_new_string(code));
	if (verdict) {
		json_object_object_add(error, "verdict", json_object_new_string(verdict));
		evhttp_add_header(evhttp_request_get_output_headers(req), "X-Bayhoist-Verdict", verdict);
	}
	json_object_object_add(root, "error", error);
	web_reply_json(req, status, root);
}

const char *web_get_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

/* Returns the body as one run of bytes, valid as long as the request. */
bool web_get_body(struct evhttp_request *req, const char **data, size_t *len)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	*len = evbuffer_get_length(in);
	*data = (const char *)evbuffer_pullup(in, -1);
	if (!*data)
		*data = "";
	return *len > 0;
}

const char *web_get_path(struct evhttp_request *req)
{
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	return path ? path : "";
}

/* Returns a query parameter to free with g_free(), or NULL. */
char *web_get_query(struct evhttp_request *req, const char *name)
{
	const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq list;
	char *value = NULL;

	if (!query || evhttp_parse_query_str(query, &list) != 0)
		return NULL;
	value = g_strdup(evhttp_find_header(&list, name));
	evhttp_clear_headers(&list);
	return value;
}

static void on_hangup_(evutil_socket_t fd, short what, void *conn)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(conn);
}

/* Watches for a client that hangs up while its request is handled: evhttp does not read then and would see it
 * only at its next write. The connection is freed, which calls its close callback; that must free the event
 * returned, as must whoever ends the request. */
struct event *web_watch_hangup(struct event_base *base, struct evhttp_connection *conn)
{
	evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));
	struct event *event = event_new(base, fd, EV_CLOSED, on_hangup_, conn);

	event_add(event, NULL);
	return event;
}

/* Returns a server on "IP:port" that hands every request to `cb`, or NULL. */
struct evhttp *web_listen(struct event_base *base, const char *address,
						  void (*cb)(struct evhttp_request *, void *), void *arg)
{
	char ip[64];
	uint16_t port;
	struct evhttp *http;

	if (!bh__address_split(address, ip, sizeof ip, &port))
		return NULL;
	http = evhttp_new(base);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, cb, arg);
	if (evhttp_bind_socket(http, ip, port) != 0) {
		evhttp_free(http);
		return NULL;
	}
	return http;
}

static void on_signal_(evutil_socket_t sig, short what, void *base)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(base);
}

/* Runs the loop until SIGTERM or SIGINT. */
void web_run_until_signal(struct event_base *base)
{
	struct event *terminate = evsignal_new(base, SIGTERM, on_signal_, base);
	struct event *interrupt = evsignal_new(base, SIGINT, on_signal_, base);

	signal(SIGPIPE, SIG_IGN);
	event_add(terminate, NULL);
	event_add(interrupt, NULL);
	event_base_dispatch(base);
	event_free(terminate);
	event_free(interrupt);
}
