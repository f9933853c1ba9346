/* SPDX-License-Identifier: BSD-3-Clause */
/* Callers: the OpenAI-compatible API, calls to plain services, and "where". */
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/sha.h>
#include <string.h>
#include <xxhash.h>
#include "bayhoist/hash.h"
#include "clock.h"
#include "log.h"
#include "prompt.h"
#include "web.h"

#define OUTPUT_HIGH (256 * 1024) /* bytes waiting for a caller at which its engine is no longer read */
#define PIECES_MAX (4 * 1024 * 1024)
#define DEADLINE_MAX_MS 86400000
#define KEY_MAX 200
#define ACCOUNT_TEXT_LEN 17 /* of an account's id in hexadecimal, with its terminator */

struct Caller {
	Daemon *daemon;
	struct evhttp_request *req; /* NULL once the caller is gone */
	struct event *hangup;       /* NULL once it is no longer watched */
	uint64_t request_id;
	Body *body;
	char *path;
	char *model;
	char *content_type;
	enum evhttp_cmd_type method;
	bool is_chat;
	bool stream;
	bool is_service;
	bool started;
	int head_status; /* of a plain service's answer */
	char *head_type;
	GString *pieces; /* the answer so far: one JSON text a line, or a service's raw bytes */
	uint64_t piece_count;
	struct evhttp_connection *upstream; /* that is read for this caller */
	bool paused;
};

/* A caller's options, from its headers. */
typedef struct {
	uint64_t deadline_us;
	bool repeatable;
	const char *key;
	const char *stamp;
} CallerOptions;

static void on_completion_(struct evhttp_request *req, Daemon *d, const char *path, uint64_t account_id);
static void on_service_(struct evhttp_request *req, Daemon *d, const char *path, uint64_t account_id);
static void on_where_(struct evhttp_request *req, Daemon *d, uint64_t account_id);
static bool read_options_(struct evhttp_request *req, CallerOptions *o);
static bool read_deadline_(const char *text, uint64_t *deadline_us);
static void bad_request_(struct evhttp_request *req, const char *message);
static Caller *new_(Daemon *d, struct evhttp_request *req, const char *path, const char *model);
static void unwatch_(Caller *c);
static void free_(Caller *c);
static BH__Fingerprint fingerprint_(const Caller *c, uint64_t account_id);
static void submit_(Caller *c, BH__Request *r, const CallerOptions *o, uint64_t account_id);
static void on_closed_(struct evhttp_connection *conn, void *arg);
static void replay_(Caller *c, const BH__AdmissionResult *a);
static void refuse_(struct evhttp_request *req, uint64_t request_id, const BH__Outcome *o);
static void start_stream_(Caller *c);
static void send_(Caller *c, const char *before, const char *data, size_t len, const char *after);
static void on_drained_(struct evhttp_connection *conn, void *arg);
static void finish_stream_(Caller *c, const BH__Outcome *o);
static void finish_whole_(Caller *c);
static void finish_service_(Caller *c);

/* Finds who sends a request by its key: "Authorization: Bearer KEY". */
bool caller_authenticate(Daemon *d, struct evhttp_request *req, uint64_t *account_id, const char **name,
						 bool *is_operator)
{
	const char *header = web_get_header(req, "Authorization");
	unsigned char digest[SHA256_DIGEST_LENGTH];
	char hex[2 * SHA256_DIGEST_LENGTH + 1];
	const BH__Account *account;

	if (!header || g_ascii_strncasecmp(header, "Bearer ", 7) != 0)
		return false;
	SHA256((const unsigned char *)header + 7, strlen(header + 7), digest);
	for (unsigned i = 0; i < sizeof digest; i++)
		g_snprintf(hex + 2 * i, 3, "%02x", digest[i]);
	if (!strcmp(hex, d->settings.operator_key_sha256)) {
		*account_id = 0;
		*name = "operator";
		*is_operator = true;
		return true;
	}
	account = bh__node_find_account(d->node, hex, account_id, name);
	*is_operator = account && account->is_operator;
	return account != NULL;
}

/* Handles a request under /v1/. */
void caller_on_request(struct evhttp_request *req, Daemon *d, const char *path)
{
	uint64_t account_id;
	const char *name;
	bool is_operator;

	if (!caller_authenticate(d, req, &account_id, &name, &is_operator)) {
		web_reply_error(req, 401, BH__VerdictString[BH__VERDICT_NOT_RUN], "unauthorized",
						"header \"Authorization\": absent, or its key is not known");
		return;
	}
	if (!strcmp(path, "/v1/where"))
		on_where_(req, d, account_id);
	else if (g_str_has_prefix(path, "/v1/services/"))
		on_service_(req, d, path, account_id);
	else if (evhttp_request_get_command(req) != EVHTTP_REQ_POST)
		web_reply_error(req, 405, BH__VerdictString[BH__VERDICT_NOT_RUN], "method-not-allowed", "use POST");
	else
		on_completion_(req, d, path, account_id);
}

static void bad_request_(struct evhttp_request *req, const char *message)
{
	web_reply_error(req, 400, BH__VerdictString[BH__VERDICT_NOT_RUN],
					BH__ReasonString[BH__REASON_BAD_REQUEST], message);
}

static bool read_deadline_(const char *text, uint64_t *deadline_us)
{
	char *end;
	guint64 ms = g_ascii_strtoull(text, &end, 10);

	if (!*text || *end || ms < 1 || ms > DEADLINE_MAX_MS)
		return false;
	*deadline_us = ms * BH__MS_US;
	return true;
}

/* Reads the X-Bayhoist-* headers; replies to the caller and returns false if one is wrong. */
static bool read_options_(struct evhttp_request *req, CallerOptions *o)
{
	const char *deadline = web_get_header(req, "X-Bayhoist-Deadline-Ms");
	const char *repeatable = web_get_header(req, "X-Bayhoist-Repeatable");

	memset(o, 0, sizeof *o);
	o->repeatable = true;
	o->key = web_get_header(req, "Idempotency-Key");
	o->stamp = web_get_header(req, "X-Bayhoist-Stamp");
	if (deadline && !read_deadline_(deadline, &o->deadline_us)) {
		bad_request_(req, "header \"X-Bayhoist-Deadline-Ms\": must be a whole number from 1 to 86400000");
		return false;
	}
	if (repeatable && strcmp(repeatable, "yes") != 0 && strcmp(repeatable, "no") != 0) {
		bad_request_(req, "header \"X-Bayhoist-Repeatable\": must be yes or no");
		return false;
	}
	o->repeatable = !repeatable || !strcmp(repeatable, "yes");
	if (o->key && (!*o->key || strlen(o->key) > KEY_MAX)) {
		bad_request_(req, "header \"Idempotency-Key\": must have 1 to 200 characters");
		return false;
	}
	if (o->key)
		o->repeatable = false;
	return true;
}

static void on_completion_(struct evhttp_request *req, Daemon *d, const char *path, uint64_t account_id)
{
	bool is_chat = !strcmp(path, "/v1/chat/completions");
	Prompt p;
	CallerOptions o;
	GError *error = NULL;
	Caller *c;
	const BH__Resource *model;
	BH__Request r = {0};

	if (!is_chat && strcmp(path, "/v1/completions") != 0) {
		web_reply_error(req, 404, BH__VerdictString[BH__VERDICT_NOT_RUN], "not-found",
						"there is no such path");
		return;
	}
	if (!read_options_(req, &o))
		return;
	c = new_(d, req, path, "");
	if (!prompt_parse(&p, c->body->data, c->body->len, &error)) {
		unwatch_(c);
		bad_request_(req, error->message);
		g_error_free(error);
		prompt_finish(&p);
		free_(c);
		return;
	}
	c->is_chat = is_chat;
	c->stream = p.stream;
	g_free(c->model);
	c->model = g_strdup(p.model);
	model = bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_MODEL, bh__hash_name(p.model));
	r.model = p.model;
	r.adapter = p.adapter;
	r.prompt_bytes = p.text_len;
	r.max_tokens = p.max_tokens;
	if (model)
		bh__prefix_chain_init(&r.prefix, p.text, p.text_len, (uint32_t)model->as.model.bytes_per_token);
	submit_(c, &r, &o, account_id);
	prompt_finish(&p);
}

/* Handles /v1/services/NAME/PATH: the call goes to an endpoint of the plain service NAME as it is. */
static void on_service_(struct evhttp_request *req, Daemon *d, const char *path, uint64_t account_id)
{
	const char *name = path + strlen("/v1/services/");
	const char *slash = strchr(name, '/');
	const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	char *model = slash ? g_strndup(name, (gsize)(slash - name)) : g_strdup(name);
	char *target = g_strconcat(slash ? slash : "/", query ? "?" : "", query, NULL);
	const BH__Resource *r =
		bh__catalog_find(bh__node_get_catalog(d->node), BH__KIND_MODEL, bh__hash_name(model));
	CallerOptions o;

	if (!r || !r->as.model.service) {
		web_reply_error(req, 404, BH__VerdictString[BH__VERDICT_NOT_RUN],
						BH__ReasonString[BH__REASON_UNKNOWN_MODEL], "there is no such service");
	}
	else if (read_options_(req, &o)) {
		BH__Request request = {.model = model};
		Caller *c = new_(d, req, target, model);
		c->is_service = true;
		if (!web_get_header(req, "X-Bayhoist-Repeatable") && c->method != EVHTTP_REQ_GET)
			o.repeatable = false; /* only a GET may be repeated without being told so */
		submit_(c, &request, &o, account_id);
	}
	g_free(target);
	g_free(model);
}

static void on_where_(struct evhttp_request *req, Daemon *d, uint64_t account_id)
{
	char *hall = web_get_query(req, "hall");
	char *ip = NULL;
	ev_uint16_t port;
	BH__Where where;
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();

	evhttp_connection_get_peer(evhttp_request_get_connection(req), &ip, &port);
	bh__node_get_where(d->node, bh__hash_pair(account_id, bh__hash_name(ip ? ip : "")), hall, &where);
	for (unsigned i = 0; i < where.count; i++)
		json_object_array_add(list, json_object_new_string(where.address[i]));
	json_object_object_add(root, "addresses", list);
	json_object_object_add(root, "ttl_s", json_object_new_int64(where.ttl_s));
	json_object_object_add(root, "stamp", json_object_new_string(where.stamp));
	web_reply_json(req, 200, root);
	g_free(hall);
}

static Caller *new_(Daemon *d, struct evhttp_request *req, const char *path, const char *model)
{
	Caller *c = g_new0(Caller, 1);
	const char *type = web_get_header(req, "Content-Type");
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	int one = 1;

	c->daemon = d;
	c->req = req;
	c->request_id = bh__node_new_request_id(d->node);
	c->body = body_new(req);
	c->path = g_strdup(path);
	c->model = g_strdup(model);
	c->content_type = g_strdup(type ? type : "application/json");
	c->method = evhttp_request_get_command(req);
	c->pieces = g_string_new(NULL);
	g_hash_table_insert(d->callers, &c->request_id, c);
	evhttp_connection_set_closecb(conn, on_closed_, c);
	c->hangup = web_watch_hangup(d->base, conn);
	/* pieces are small and must not wait for the acknowledgement of the one before */
	setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(conn)), IPPROTO_TCP, TCP_NODELAY, &one,
			   sizeof one);
	return c;
}

/* Stops watching the caller's connection. */
static void unwatch_(Caller *c)
{
	if (c->hangup)
		event_free(c->hangup);
	c->hangup = NULL;
}

static void free_(Caller *c)
{
	unwatch_(c);
	if (c->req)
		evhttp_connection_set_closecb(evhttp_request_get_connection(c->req), NULL, NULL);
	g_hash_table_remove(c->daemon->callers, &c->request_id);
	body_unref(c->body);
	g_string_free(c->pieces, TRUE);
	g_free(c->path);
	g_free(c->model);
	g_free(c->content_type);
	g_free(c->head_type);
	g_free(c);
}

/* Frees all callers; for the end of the process, after the node is gone. */
void callers_free(Daemon *d)
{
	GList *all = g_hash_table_get_values(d->callers);
	for (GList *it = all; it; it = it->next)
		free_(it->data);
	g_list_free(all);
}

Caller *caller_find(Daemon *d, uint64_t request_id)
{
	return g_hash_table_lookup(d->callers, &request_id);
}

/* Returns what the request has in common with each other try of it. */
static BH__Fingerprint fingerprint_(const Caller *c, uint64_t account_id)
{
	char account[ACCOUNT_TEXT_LEN];
	BH__FingerprintSource source = {.account = account,
									.method = c->method == EVHTTP_REQ_POST ? "POST" : "",
									.target = c->path,
									.body = (const uint8_t *)c->body->data,
									.body_len = c->body->len};

	g_snprintf(account, sizeof account, "%016" G_GINT64_MODIFIER "x", account_id);
	return bh__fingerprint_compute(&source);
}

/* Hands the request to the node and acts on its admission. */
static void submit_(Caller *c, BH__Request *r, const CallerOptions *o, uint64_t account_id)
{
	Daemon *d = c->daemon;
	BH__AdmissionResult admitted;

	r->request_id = c->request_id;
	r->account_id = account_id;
	r->deadline_us = o->deadline_us;
	r->repeatable = o->repeatable;
	r->key = o->key;
	r->stamp = o->stamp;
	r->body_hash = XXH64(c->body->data, c->body->len, 5);
	r->fingerprint = fingerprint_(c, account_id);
	bh__node_request(d->node, r, &admitted, clock_now_us());
	switch (admitted.admission) {
	case BH__ADMIT_ACCEPTED: /* `c` may be gone by now */
		break;
	case BH__ADMIT_REFUSED:
		unwatch_(c);
		refuse_(c->req, c->request_id, &admitted.outcome);
		free_(c);
		break;
	case BH__ADMIT_REPLAY:
		replay_(c, &admitted);
		break;
	case BH__ADMIT_FORWARD:
		evhttp_connection_set_closecb(evhttp_request_get_connection(c->req), NULL, NULL);
		unwatch_(c);
		forward_start(d, c->req, c->body, admitted.forward_address);
		c->req = NULL;
		free_(c);
		break;
	}
}

/* The caller's connection closed. */
static void on_closed_(struct evhttp_connection *conn, void *arg)
{
	Caller *c = arg;

	(void)conn;
	c->req = NULL;
	unwatch_(c);
	bh__node_process_caller_gone(c->daemon->node, c->request_id, clock_now_us());
}

static void refuse_(struct evhttp_request *req, uint64_t request_id, const BH__Outcome *o)
{
	char text[32];

	if (o->retry_after_ms) {
		g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, (o->retry_after_ms + 999) / 1000);
		evhttp_add_header(evhttp_request_get_output_headers(req), "Retry-After", text);
	}
	g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", request_id);
	evhttp_add_header(evhttp_request_get_output_headers(req), "X-Bayhoist-Request", text);
	web_reply_error(req, (int)bh__reason_get_http_status(o->reason), BH__VerdictString[o->verdict],
					BH__ReasonString[o->reason], o->message ? o->message : BH__ReasonString[o->reason]);
}

/* Answers with what the same request was answered before. */
static void replay_(Caller *c, const BH__AdmissionResult *a)
{
	BH__Outcome o = a->outcome;
	const char *line = a->answer;

	if (!a->answer) {
		o.message = "this request ran before; its answer is no longer kept";
		o.reason = o.reason == BH__REASON_NONE ? BH__REASON_KEY_IN_USE : o.reason;
		unwatch_(c);
		refuse_(c->req, c->request_id, &o);
		free_(c);
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(c->req), "X-Bayhoist-Replayed", "yes");
	if (c->is_service) {
		caller_on_piece(&c->daemon->ports, c->request_id, a->answer, a->answer_len);
		line = NULL;
	}
	while (line && line < a->answer + a->answer_len) {
		const char *end = memchr(line, '\n', (size_t)(a->answer + a->answer_len - line));
		caller_on_piece(&c->daemon->ports, c->request_id, line, (size_t)(end - line));
		line = end + 1;
	}
	caller_on_end(&c->daemon->ports, c->request_id, &o);
}

static void start_stream_(Caller *c)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(c->req);
	char id[17];

	g_snprintf(id, sizeof id, "%016" G_GINT64_MODIFIER "x", c->request_id);
	evhttp_add_header(headers, "X-Bayhoist-Request", id);
	if (c->is_service)
		evhttp_add_header(headers, "Content-Type", c->head_type ? c->head_type : "application/octet-stream");
	else
		evhttp_add_header(headers, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(c->req, c->is_service && c->head_status ? c->head_status : 200, NULL);
	c->started = true;
}

/* Sends one chunk; a caller that reads slowly stops the engine's stream from being read. */
static void send_(Caller *c, const char *before, const char *data, size_t len, const char *after)
{
	struct evbuffer *out = evbuffer_new();
	struct evhttp_connection *conn = evhttp_request_get_connection(c->req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);

	evbuffer_add(out, before, strlen(before));
	evbuffer_add(out, data, len);
	evbuffer_add(out, after, strlen(after));
	evhttp_send_reply_chunk_with_cb(c->req, out, on_drained_, c);
	evbuffer_free(out);
	if (!c->paused && c->upstream && evbuffer_get_length(bufferevent_get_output(bev)) > OUTPUT_HIGH) {
		c->paused = true;
		bufferevent_disable(evhttp_connection_get_bufferevent(c->upstream), EV_READ);
	}
}

static void on_drained_(struct evhttp_connection *conn, void *arg)
{
	Caller *c = arg;

	(void)conn;
	if (c->paused && c->upstream)
		bufferevent_enable(evhttp_connection_get_bufferevent(c->upstream), EV_READ);
	c->paused = false;
}

/* Notes the connection that is read for a caller; NULL when it ends. */
void caller_set_upstream(Caller *c, struct evhttp_connection *upstream)
{
	c->upstream = upstream;
	c->paused = false;
}

/* Notes status and type of a plain service's answer. */
void caller_set_head(Caller *c, int status, const char *content_type)
{
	c->head_status = status;
	g_free(c->head_type);
	c->head_type = g_strdup(content_type);
}

/* One piece of an answer came. */
void caller_on_piece(BH__NodePorts *ports, uint64_t request_id, const char *data, size_t len)
{
	Caller *c = caller_find((Daemon *)ports, request_id);

	if (!c)
		return;
	c->piece_count++;
	if (!c->is_service && c->pieces->len + len < PIECES_MAX) {
		g_string_append_len(c->pieces, data, (gssize)len);
		g_string_append_c(c->pieces, '\n');
	}
	if (!c->req || (!c->stream && !c->is_service))
		return;
	if (!c->started)
		start_stream_(c);
	if (c->is_service)
		send_(c, "", data, len, "");
	else
		send_(c, "data: ", data, len, "\n\n");
}

/* A request ended: answers, or says why not. */
void caller_on_end(BH__NodePorts *ports, uint64_t request_id, const BH__Outcome *o)
{
	Caller *c = caller_find((Daemon *)ports, request_id);

	if (!c)
		return;
	if (c->req && o->verdict != BH__VERDICT_RAN && !c->started) {
		unwatch_(c);
		refuse_(c->req, c->request_id, o);
	}
	else if (c->req && c->is_service && o->verdict == BH__VERDICT_RAN)
		finish_service_(c);
	else if (c->req && (c->stream || c->started))
		finish_stream_(c, o);
	else if (c->req)
		finish_whole_(c);
	free_(c);
}

/* Ends a stream: with its last event, or with an error event that carries the verdict. */
static void finish_stream_(Caller *c, const BH__Outcome *o)
{
	char text[400];

	if (!c->started)
		start_stream_(c);
	c->upstream = NULL;
	if (o->verdict == BH__VERDICT_RAN) {
		send_(c, "data: [DONE]\n\n", "", 0, "");
	}
	else if (c->is_service) { /* the status is out: only a broken connection can tell */
		struct evhttp_connection *conn = evhttp_request_get_connection(c->req);
		evhttp_connection_set_closecb(conn, NULL, NULL);
		unwatch_(c);
		c->req = NULL;
		evhttp_connection_free(conn);
		return;
	}
	else {
		g_snprintf(
			text, sizeof text,
			"event: error\ndata: {\"error\":{\"type\":\"%s\",\"verdict\":\"%s\",\"message\":\"%s\"}}\n\n",
			BH__ReasonString[o->reason], BH__VerdictString[o->verdict], o->message ? o->message : "");
		send_(c, text, "", 0, "");
	}
	evhttp_connection_set_closecb(evhttp_request_get_connection(c->req), NULL, NULL);
	unwatch_(c);
	evhttp_send_reply_end(c->req);
	c->req = NULL;
}

static void finish_service_(Caller *c)
{
	if (!c->started)
		start_stream_(c);
	evhttp_connection_set_closecb(evhttp_request_get_connection(c->req), NULL, NULL);
	unwatch_(c);
	evhttp_send_reply_end(c->req);
	c->req = NULL;
}

/* Returns the text of the answer so far, to free with g_free(). */
char *caller_get_text(const Caller *c)
{
	GString *text = g_string_new(NULL);
	const char *line = c->pieces->str;

	while (*line) {
		const char *end = strchr(line, '\n');
		char *piece = prompt_get_piece_text(line, (size_t)(end - line));
		if (piece)
			g_string_append(text, piece);
		g_free(piece);
		line = end + 1;
	}
	return g_string_free(text, FALSE);
}

/* Answers a caller that did not ask for a stream. */
static void finish_whole_(Caller *c)
{
	char *text = caller_get_text(c);
	struct json_object *root = json_object_new_object();
	struct json_object *choice = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	struct json_object *usage = json_object_new_object();
	char id[40];

	g_snprintf(id, sizeof id, "cmpl-%016" G_GINT64_MODIFIER "x", c->request_id);
	json_object_object_add(root, "id", json_object_new_string(id));
	json_object_object_add(root, "object",
						   json_object_new_string(c->is_chat ? "chat.completion" : "text_completion"));
	json_object_object_add(root, "model", json_object_new_string(c->model));
	json_object_object_add(choice, "index", json_object_new_int(0));
	json_object_object_add(choice, "finish_reason", json_object_new_string("stop"));
	if (c->is_chat) {
		struct json_object *message = json_object_new_object();
		json_object_object_add(message, "role", json_object_new_string("assistant"));
		json_object_object_add(message, "content", json_object_new_string(text));
		json_object_object_add(choice, "message", message);
	}
	else {
		json_object_object_add(choice, "text", json_object_new_string(text));
	}
	json_object_array_add(choices, choice);
	json_object_object_add(root, "choices", choices);
	json_object_object_add(usage, "completion_tokens", json_object_new_int64((int64_t)c->piece_count));
	json_object_object_add(root, "usage", usage);
	evhttp_connection_set_closecb(evhttp_request_get_connection(c->req), NULL, NULL);
	unwatch_(c);
	web_reply_json(c->req, 200, root);
	c->req = NULL;
	g_free(text);
}

Body *caller_get_body(Caller *c)
{
	return c->body;
}

const char *caller_get_path(const Caller *c)
{
	return c->path;
}

enum evhttp_cmd_type caller_get_method(const Caller *c)
{
	return c->method;
}

const char *caller_get_content_type(const Caller *c)
{
	return c->content_type;
}
