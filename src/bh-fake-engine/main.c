/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-fake-engine: a small stand-in for a model engine: continuous batching with prefill in chunks by
 * priority, KV memory with a limit, a prefix cache, resumable streams, segments of long prompts, and orders.
 * Its answer to a prompt is a function of the prompt alone. Faults: POST /fault with any of
 *   {"die": true, "pause_ms": N, "slow": F, "load_lag_ms": N, "cache_lag_ms": N, "cache_gap": true, "cut": N,
 *    "cross": N, "repeat": N, "unfenced": bool, "kv_bytes": N}
 * cut: break the next N streams off after some pieces, and go on generating; cross: send N pieces under
 * another attempt's id; repeat: send N pieces a second time. */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>
#include "bayhoist/address.h"
#include "bayhoist/field.h"
#include "bayhoist/hash.h"
#include "bayhoist/types.h"
#include "clock.h"
#include "log.h"
#include "prompt.h"
#include "version.h"
#include "web.h"
#include "web_call.h"

#define TICK_MS 5
#define DEFAULT_MAX_TOKENS 16
#define CUT_AFTER_PIECES 3
#define CACHE_LOG_MAX 4096
#define WEIGHTS_RETRY_MS 200

typedef enum { ATTEMPT_IMPORTING, ATTEMPT_PREFILL, ATTEMPT_DECODE, ATTEMPT_HELD } AttemptState;

typedef struct Engine Engine;

typedef struct {
	Engine *engine;
	uint64_t id;
	char owner[40];
	AttemptState state;
	bool is_segment;
	bool is_chat;
	unsigned priority;
	uint64_t kv_bytes;
	double prefill_left;
	uint64_t text_hash;
	uint64_t max_tokens;
	uint64_t generated;
	uint64_t sent;
	uint64_t due_us;
	bool cut;
	unsigned imports;
	bool import_failed;
	BH__PrefixChain prefix;
	struct evhttp_request *req; /* NULL: nobody listens */
	bool started;
} Attempt;

struct Engine {
	struct event_base *base;
	const char *name;
	uint64_t boot_id;
	uint64_t kv_total_bytes;
	uint64_t kv_bytes_per_token;
	uint64_t bytes_per_token;
	double prefill_per_s;
	uint64_t token_us;
	GHashTable *attempts; /* Attempt by id */
	GHashTable *cache;    /* set of prefix hashes */
	GPtrArray *cache_log; /* "+HASH" or "-HASH" */
	uint64_t cache_log_first;
	uint64_t cache_max;
	GPtrArray *loaded;
	uint64_t highest_fence;
	struct json_object *report;
	uint64_t report_us;
	uint64_t last_tick_us;
	double slow;
	uint64_t load_lag_ms;
	uint64_t cache_lag_ms;
	uint64_t pause_until_us;
	uint64_t cut;
	uint64_t cross;
	uint64_t repeat;
	bool unfenced;
	const char *weights; /* address of the weight store; NULL: loading takes no time */
};

static uint64_t used_(const Engine *e)
{
	uint64_t sum = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, e->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value))
		sum += ((const Attempt *)value)->kv_bytes;
	return sum;
}

static void on_closed_(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	((Attempt *)arg)->req = NULL;
}

static void detach_(Attempt *a)
{
	if (a->req)
		evhttp_connection_set_closecb(evhttp_request_get_connection(a->req), NULL, NULL);
	a->req = NULL;
}

static void attach_(Attempt *a, struct evhttp_request *req)
{
	a->req = req;
	a->started = false;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), on_closed_, a);
}

static void free_attempt_(gpointer attempt)
{
	detach_(attempt);
	g_free(attempt);
}

static void note_cache_(Engine *e, char sign, uint64_t hash)
{
	g_ptr_array_add(e->cache_log, g_strdup_printf("%c%016" G_GINT64_MODIFIER "x", sign, hash));
	if (e->cache_log->len > CACHE_LOG_MAX) {
		g_ptr_array_remove_index(e->cache_log, 0);
		e->cache_log_first++;
	}
}

static void cache_prompt_(Engine *e, const BH__PrefixChain *chain)
{
	for (unsigned i = 0; i < chain->count; i++) {
		if (g_hash_table_contains(e->cache, &chain->hash[i]))
			continue;
		if (g_hash_table_size(e->cache) >= e->cache_max) {
			GHashTableIter it;
			gpointer key;
			g_hash_table_iter_init(&it, e->cache);
			if (g_hash_table_iter_next(&it, &key, NULL)) {
				note_cache_(e, '-', *(uint64_t *)key);
				g_hash_table_iter_remove(&it);
			}
		}
		g_hash_table_add(e->cache, g_memdup2(&chain->hash[i], sizeof chain->hash[i]));
		note_cache_(e, '+', chain->hash[i]);
	}
}

static uint64_t cached_tokens_(const Engine *e, const BH__PrefixChain *chain)
{
	for (unsigned i = chain->count; i-- > 0;)
		if (g_hash_table_contains(e->cache, &chain->hash[i]))
			return bh__prefix_get_tokens(i);
	return 0;
}

static uint64_t hex_header_(struct evhttp_request *req, const char *name)
{
	const char *text = web_get_header(req, name);
	return text ? g_ascii_strtoull(text, NULL, 16) : 0;
}

static uint64_t number_header_(struct evhttp_request *req, const char *name)
{
	const char *text = web_get_header(req, name);
	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void start_stream_(Attempt *a)
{
	evhttp_add_header(evhttp_request_get_output_headers(a->req), "Content-Type", "text/event-stream");
	evhttp_send_reply_start(a->req, 200, NULL);
	a->started = true;
}

static void write_piece_(Attempt *a, struct evbuffer *out, uint64_t offset, uint64_t id)
{
	char *text = prompt_expected_piece(a->text_hash, offset);

	evbuffer_add_printf(out, "id: %016" G_GINT64_MODIFIER "x:%" G_GUINT64_FORMAT "\n", id, offset);
	if (a->is_chat)
		evbuffer_add_printf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]}\n\n",
							text);
	else
		evbuffer_add_printf(out, "data: {\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n", text);
	g_free(text);
}

/* Sends what was generated and not sent. Returns true if the attempt is over and its memory free. */
static bool send_(Attempt *a)
{
	Engine *e = a->engine;
	struct evbuffer *out;

	if (!a->req)
		return false;
	if (!a->started)
		start_stream_(a);
	out = evbuffer_new();
	while (a->sent < a->generated) {
		if (e->cross) {
			e->cross--;
			write_piece_(a, out, a->sent, a->id ^ 1);
		}
		write_piece_(a, out, a->sent, a->id);
		if (e->repeat) {
			e->repeat--;
			write_piece_(a, out, a->sent, a->id);
		}
		a->sent++;
	}
	if (a->cut && a->sent >= CUT_AFTER_PIECES) {
		struct evhttp_connection *conn = evhttp_request_get_connection(a->req);
		a->cut = false;
		detach_(a);
		evhttp_connection_free(conn);
		evbuffer_free(out);
		return false;
	}
	if (a->generated >= a->max_tokens) {
		evbuffer_add_printf(out, "id: %016" G_GINT64_MODIFIER "x:%" G_GUINT64_FORMAT "\ndata: [DONE]\n\n",
							a->id, a->sent);
		evhttp_send_reply_chunk(a->req, out);
		evhttp_send_reply_end(a->req);
		detach_(a);
		evbuffer_free(out);
		return true;
	}
	evhttp_send_reply_chunk(a->req, out);
	evbuffer_free(out);
	return false;
}

static gint by_priority_(gconstpointer a, gconstpointer b)
{
	const Attempt *x = a;
	const Attempt *y = b;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	return x->prefill_left < y->prefill_left ? -1 : x->prefill_left > y->prefill_left;
}

static void finish_prefill_(Attempt *a, uint64_t now_us)
{
	Engine *e = a->engine;

	cache_prompt_(e, &a->prefix);
	if (a->is_segment) {
		a->state = ATTEMPT_HELD;
		if (a->req)
			web_reply_json(a->req, 200, json_object_new_object());
		detach_(a);
		return;
	}
	a->state = ATTEMPT_DECODE;
	a->due_us = now_us;
}

static void on_tick_(evutil_socket_t fd, short what, void *arg)
{
	Engine *e = arg;
	uint64_t now_us = clock_now_us();
	double budget = e->prefill_per_s * e->slow * (double)(now_us - e->last_tick_us) / 1e6;
	GList *all;

	(void)fd;
	(void)what;
	e->last_tick_us = now_us;
	if (now_us < e->pause_until_us)
		return;
	all = g_list_sort(g_hash_table_get_values(e->attempts), by_priority_);
	for (GList *it = all; it; it = it->next) {
		Attempt *a = it->data;
		bool over = false;
		if (a->state == ATTEMPT_PREFILL) {
			double part = MIN(budget, a->prefill_left);
			a->prefill_left -= part;
			budget -= part;
			if (a->prefill_left <= 0)
				finish_prefill_(a, now_us);
		}
		if (a->state == ATTEMPT_DECODE && now_us >= a->due_us) {
			uint64_t step_us = (uint64_t)((double)e->token_us / e->slow);
			while (a->generated < a->max_tokens && a->due_us <= now_us) {
				a->generated++;
				a->due_us += MAX(step_us, 1);
			}
			over = send_(a);
		}
		if (over)
			g_hash_table_remove(e->attempts, &a->id);
	}
	g_list_free(all);
}

static void refuse_(struct evhttp_request *req, const char *why)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), "Retry-After", "1");
	web_reply_error(req, 503, "not-run", "overload", why);
}

static void on_imported_(struct evhttp_request *req, void *arg)
{
	uint64_t *ref = arg; /* the engine by address and the attempt by id: it may be gone */
	Engine *e = (Engine *)(uintptr_t)ref[0];
	Attempt *a = g_hash_table_lookup(e->attempts, &ref[1]);

	g_free(ref);
	if (!a || a->state != ATTEMPT_IMPORTING)
		return;
	a->import_failed |= !req || evhttp_request_get_response_code(req) != 200;
	if (--a->imports)
		return;
	if (!a->import_failed) {
		a->state = ATTEMPT_PREFILL;
		return;
	}
	if (a->req)
		refuse_(a->req, "a segment to import is missing");
	detach_(a);
	g_hash_table_remove(e->attempts, &a->id);
}

/* Asks each engine that holds an earlier segment to export it. */
static void import_(Attempt *a, const char *list)
{
	char **address = g_strsplit(list, ",", BH__GANG_MAX);

	for (char **at = address; *at; at++) {
		char ip[64];
		uint16_t port;
		char path[64];
		char *slash;
		uint64_t *ref = g_new(uint64_t, 2);
		struct evhttp_connection *conn;
		struct evhttp_request *req;
		WebCall *call;
		ref[0] = (uint64_t)(uintptr_t)a->engine;
		ref[1] = a->id;
		a->imports++;
		slash = strchr(*at, '/');
		if (slash)
			*slash++ = '\0';
		if (!slash || !bh__address_split(*at, ip, sizeof ip, &port)) {
			g_free(ref);
			a->import_failed = true;
			a->imports--;
			continue;
		}
		conn = evhttp_connection_base_new(a->engine->base, NULL, ip, port);
		evhttp_connection_set_timeout(conn, 5);
		call = web_call_new(a->engine->base, conn, on_imported_, ref);
		req = web_call_get_request(call);
		g_snprintf(path, sizeof path, "/v1/kv/segments/%s", slash);
		evhttp_add_header(evhttp_request_get_output_headers(req), "Host", *at);
		web_call_start(call, EVHTTP_REQ_GET, path);
	}
	g_strfreev(address);
}

static void on_prompt_(Engine *e, struct evhttp_request *req, bool is_segment, bool is_chat)
{
	const char *data;
	const char *range = web_get_header(req, "X-Bayhoist-Range");
	const char *owner = web_get_header(req, "X-Bayhoist-Owner");
	const char *attach = web_get_header(req, "X-Bayhoist-Attach");
	size_t len;
	Prompt p;
	GError *error = NULL;
	Attempt *a;
	uint64_t tokens;
	uint64_t id = hex_header_(req, "X-Bayhoist-Attempt");

	web_get_body(req, &data, &len);
	if (!prompt_parse(&p, data, len, &error)) {
		web_reply_error(req, 400, NULL, "bad-request", error->message);
		g_error_free(error);
		prompt_finish(&p);
		return;
	}
	tokens = p.text_len / e->bytes_per_token + 1;
	if (range) {
		const char *plus = strchr(range, '+');
		tokens = plus ? g_ascii_strtoull(plus + 1, NULL, 10) : tokens;
	}
	a = g_new0(Attempt, 1);
	a->engine = e;
	a->id = id ? id : ((uint64_t)g_random_int() << 32 | g_random_int());
	a->max_tokens = p.max_tokens ? p.max_tokens : DEFAULT_MAX_TOKENS;
	a->kv_bytes = (tokens + (is_segment ? 0 : a->max_tokens)) * e->kv_bytes_per_token;
	if (g_hash_table_contains(e->attempts, &a->id) || used_(e) + a->kv_bytes > e->kv_total_bytes) {
		refuse_(req, "not enough KV memory, or the attempt is here already");
		g_free(a);
		prompt_finish(&p);
		return;
	}
	g_strlcpy(a->owner, owner ? owner : "", sizeof a->owner);
	a->is_segment = is_segment;
	a->is_chat = is_chat;
	a->priority = (unsigned)number_header_(req, "X-Bayhoist-Priority");
	a->text_hash = p.text_hash;
	a->generated = number_header_(req, "X-Bayhoist-Continue");
	a->sent = a->generated;
	if (!range)
		bh__prefix_chain_init(&a->prefix, p.text, p.text_len, (uint32_t)e->bytes_per_token);
	a->prefill_left = (double)(tokens - MIN(cached_tokens_(e, &a->prefix), tokens));
	a->state = attach ? ATTEMPT_IMPORTING : ATTEMPT_PREFILL;
	if (!is_segment && e->cut) {
		e->cut--;
		a->cut = true;
	}
	attach_(a, req);
	g_hash_table_insert(e->attempts, &a->id, a);
	log_event("engine-run",
			  "attempt=%016" G_GINT64_MODIFIER "x hash=%016" G_GINT64_MODIFIER
			  "x kind=%s tokens=%" G_GUINT64_FORMAT " from=%" G_GUINT64_FORMAT,
			  a->id, a->text_hash, is_segment ? "segment" : "answer", tokens, a->sent);
	if (attach)
		import_(a, attach);
	prompt_finish(&p);
}

static Attempt *find_(Engine *e, const char *hex)
{
	uint64_t id = g_ascii_strtoull(hex, NULL, 16);
	return g_hash_table_lookup(e->attempts, &id);
}

static void on_resume_(Engine *e, struct evhttp_request *req, const char *hex)
{
	Attempt *a = find_(e, hex);

	if (!a || a->is_segment) {
		web_reply_error(req, 404, NULL, "not-found", "there is no such attempt");
		return;
	}
	if (a->req) {
		struct evhttp_connection *conn = evhttp_request_get_connection(a->req);
		detach_(a);
		evhttp_connection_free(conn);
	}
	a->sent = number_header_(req, "Last-Event-ID");
	attach_(a, req);
	if (a->state == ATTEMPT_DECODE && send_(a))
		g_hash_table_remove(e->attempts, &a->id);
}

static void on_cancel_(Engine *e, struct evhttp_request *req, const char *hex)
{
	Attempt *a = find_(e, hex);

	if (a && a->req) {
		struct evhttp_connection *conn = evhttp_request_get_connection(a->req);
		detach_(a);
		evhttp_connection_free(conn);
	}
	if (a)
		g_hash_table_remove(e->attempts, &a->id);
	web_reply_json(req, a ? 200 : 404, json_object_new_object());
}

static struct json_object *number_(uint64_t n)
{
	return json_object_new_int64((int64_t)n);
}

static struct json_object *make_report_(Engine *e)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GHashTableIter it;
	gpointer value;
	char hex[17];

	g_snprintf(hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", e->boot_id);
	json_object_object_add(root, "boot", json_object_new_string(hex));
	json_object_object_add(root, "kv_total_bytes", number_(e->kv_total_bytes));
	json_object_object_add(root, "kv_used_bytes", number_(used_(e)));
	json_object_object_add(root, "prefill_tokens_per_s", number_((uint64_t)(e->prefill_per_s * e->slow)));
	json_object_object_add(root, "token_us", number_((uint64_t)((double)e->token_us / e->slow)));
	g_hash_table_iter_init(&it, e->attempts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const Attempt *a = value;
		struct json_object *o = json_object_new_object();
		g_snprintf(hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", a->id);
		json_object_object_add(o, "id", json_object_new_string(hex));
		json_object_object_add(o, "owner", json_object_new_string(a->owner));
		json_object_object_add(o, "kv_bytes", number_(a->kv_bytes));
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "attempts", list);
	list = json_object_new_array();
	for (guint i = 0; i < e->loaded->len; i++)
		json_object_array_add(list, json_object_new_string(g_ptr_array_index(e->loaded, i)));
	json_object_object_add(root, "loaded", list);
	return root;
}

static void on_load_(Engine *e, struct evhttp_request *req)
{
	char *since_text = web_get_query(req, "cache_since");
	char *attempts_text = web_get_query(req, "attempts");
	bool without_attempts = attempts_text && !strcmp(attempts_text, "0");
	struct json_object *brief = json_object_new_object();
	uint64_t since = since_text ? g_ascii_strtoull(since_text, NULL, 10) : 0;
	struct json_object *events = json_object_new_array();
	uint64_t now_us = clock_now_us();
	uint64_t last = e->cache_log_first + e->cache_log->len;

	g_free(since_text);
	g_free(attempts_text);
	if (!e->report || now_us >= e->report_us + e->load_lag_ms * BH__MS_US) {
		json_object_put(e->report);
		e->report = make_report_(e);
		e->report_us = now_us;
	}
	since = MAX(since, e->cache_log_first);
	if (e->cache_lag_ms && now_us / BH__MS_US % e->cache_lag_ms > e->cache_lag_ms / 10)
		last = since; /* events come in bursts, late */
	for (uint64_t i = since; i < last; i++)
		json_object_array_add(
			events, json_object_new_string(g_ptr_array_index(e->cache_log, i - e->cache_log_first)));
	json_object_object_add(e->report, "cache_first", number_(since));
	json_object_object_add(e->report, "cache_events", events);
	if (without_attempts) {
		json_object_object_foreach(e->report, name, value)
		{
			if (strcmp(name, "attempts") != 0)
				json_object_object_add(brief, name, json_object_get(value));
		}
	}
	web_reply_json(req, 200, without_attempts ? json_object_get(brief) : json_object_get(e->report));
	json_object_put(brief);
}

/* A load that is under way: the weight store may put it off. */
typedef struct {
	Engine *engine;
	char *target;
	uint64_t bytes;
	bool replaces; /* another version takes the place of all */
	struct event *timer;
} Load;

static void finish_load_(Load *l)
{
	Engine *e = l->engine;

	if (l->replaces)
		g_ptr_array_set_size(e->loaded, 0);
	g_ptr_array_add(e->loaded, g_strdup(l->target));
	log_event("order-done", "target=%s", l->target);
	event_free(l->timer);
	g_free(l->target);
	g_free(l);
}

static void on_weights_(struct evhttp_request *req, void *arg)
{
	Load *l = arg;
	struct timeval pause = {0, WEIGHTS_RETRY_MS * 1000};

	if (req && evhttp_request_get_response_code(req) == 200)
		finish_load_(l);
	else
		event_add(l->timer, &pause);
}

static void on_load_timer_(evutil_socket_t fd, short what, void *arg)
{
	Load *l = arg;
	char ip[64];
	uint16_t port;
	char path[64];
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	WebCall *call;

	(void)fd;
	(void)what;
	if (!l->engine->weights || !bh__address_split(l->engine->weights, ip, sizeof ip, &port)) {
		finish_load_(l);
		return;
	}
	conn = evhttp_connection_base_new(l->engine->base, NULL, ip, port);
	evhttp_connection_set_timeout(conn, 5);
	call = web_call_new(l->engine->base, conn, on_weights_, l);
	req = web_call_get_request(call);
	g_snprintf(path, sizeof path, "/weights?bytes=%" G_GUINT64_FORMAT, l->bytes);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", l->engine->weights);
	web_call_start(call, EVHTTP_REQ_GET, path);
}

static void on_order_(Engine *e, struct evhttp_request *req, struct json_object *order)
{
	const char *target = json_object_get_string(json_object_object_get(order, "target"));
	const char *action = json_object_get_string(json_object_object_get(order, "action"));
	uint64_t fence = (uint64_t)json_object_get_int64(json_object_object_get(order, "fence"));
	Load *l;

	if (!target || !action) {
		web_reply_error(req, 400, NULL, "invalid", "field \"action\" or \"target\": required but absent");
		return;
	}
	if (!e->unfenced && fence < e->highest_fence) {
		log_event("order-refused", "target=%s fence=%" G_GUINT64_FORMAT, target, fence);
		web_reply_error(req, 409, NULL, "fenced", "a later holder has given orders");
		return;
	}
	e->highest_fence = MAX(e->highest_fence, fence);
	l = g_new0(Load, 1);
	l->engine = e;
	l->target = g_strdup(target);
	l->bytes = (uint64_t)json_object_get_int64(json_object_object_get(order, "weight_bytes"));
	l->replaces = !strcmp(action, "load-version");
	l->timer = evtimer_new(e->base, on_load_timer_, l);
	event_active(l->timer, EV_TIMEOUT, 0);
	log_event("order-taken", "action=%s target=%s fence=%" G_GUINT64_FORMAT, action, target, fence);
	web_reply_json(req, 200, json_object_new_object());
}

static void on_fault_(Engine *e, struct evhttp_request *req, struct json_object *fault)
{
	json_object_object_foreach(fault, name, value)
	{
		uint64_t n = (uint64_t)json_object_get_int64(value);
		log_event("fault", "switch=%s value=%s", name, json_object_get_string(value));
		if (!strcmp(name, "die"))
			_exit(1);
		else if (!strcmp(name, "pause_ms"))
			e->pause_until_us = clock_now_us() + n * BH__MS_US;
		else if (!strcmp(name, "slow"))
			e->slow = json_object_get_double(value);
		else if (!strcmp(name, "load_lag_ms"))
			e->load_lag_ms = n;
		else if (!strcmp(name, "cache_lag_ms"))
			e->cache_lag_ms = n;
		else if (!strcmp(name, "cache_gap")) {
			e->cache_log_first += e->cache_log->len + 1;
			g_ptr_array_set_size(e->cache_log, 0);
		}
		else if (!strcmp(name, "cut"))
			e->cut = n;
		else if (!strcmp(name, "cross"))
			e->cross = n;
		else if (!strcmp(name, "repeat"))
			e->repeat = n;
		else if (!strcmp(name, "unfenced"))
			e->unfenced = json_object_get_boolean(value);
		else if (!strcmp(name, "kv_bytes"))
			e->kv_total_bytes = n;
	}
	web_reply_json(req, 200, json_object_new_object());
}

static void on_json_(Engine *e, struct evhttp_request *req, bool is_fault)
{
	const char *data;
	size_t len;
	struct json_object *root;

	web_get_body(req, &data, &len);
	root = bh__json_parse(data, len, NULL);
	if (!json_object_is_type(root, json_type_object))
		web_reply_error(req, 400, NULL, "invalid", "the body must be a JSON object");
	else if (is_fault)
		on_fault_(e, req, root);
	else
		on_order_(e, req, root);
	json_object_put(root);
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	Engine *e = arg;
	const char *path = web_get_path(req);

	if (!strcmp(path, "/v1/completions"))
		on_prompt_(e, req, false, false);
	else if (!strcmp(path, "/v1/chat/completions"))
		on_prompt_(e, req, false, true);
	else if (!strcmp(path, "/v1/kv/segments"))
		on_prompt_(e, req, true, false);
	else if (g_str_has_prefix(path, "/v1/kv/segments/"))
		web_reply_json(req, find_(e, path + strlen("/v1/kv/segments/")) ? 200 : 404,
					   json_object_new_object());
	else if (g_str_has_prefix(path, "/v1/streams/"))
		on_resume_(e, req, path + strlen("/v1/streams/"));
	else if (g_str_has_prefix(path, "/v1/attempts/"))
		on_cancel_(e, req, path + strlen("/v1/attempts/"));
	else if (!strcmp(path, "/v1/load"))
		on_load_(e, req);
	else if (!strcmp(path, "/admin/orders"))
		on_json_(e, req, false);
	else if (!strcmp(path, "/fault"))
		on_json_(e, req, true);
	else
		web_reply_error(req, 404, NULL, "not-found", "there is no such path");
}

static void usage_(FILE *out)
{
	fputs("Usage: bh-fake-engine --listen IP:PORT [--name NAME] [--kv-bytes N] [--kv-bytes-per-token N]\n"
		  "  [--bytes-per-token N] [--prefill TOKENS_PER_S] [--token-ms N] [--loaded VERSION] [--unfenced] "
		  "[--weights IP:PORT]\n",
		  out);
}

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"listen", required_argument, NULL, 'l'},
											{"name", required_argument, NULL, 'n'},
											{"kv-bytes", required_argument, NULL, 'k'},
											{"kv-bytes-per-token", required_argument, NULL, 't'},
											{"bytes-per-token", required_argument, NULL, 'b'},
											{"prefill", required_argument, NULL, 'p'},
											{"token-ms", required_argument, NULL, 'm'},
											{"loaded", required_argument, NULL, 'v'},
											{"unfenced", no_argument, NULL, 'u'},
											{"weights", required_argument, NULL, 'w'},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	Engine e = {.name = "engine",
				.kv_total_bytes = 400000,
				.kv_bytes_per_token = 1,
				.bytes_per_token = 4,
				.prefill_per_s = 200000,
				.token_us = 5000,
				.cache_max = 512,
				.slow = 1};
	const char *address = NULL;
	const char *loaded = NULL;
	struct timeval tick = {0, TICK_MS * 1000};
	struct evhttp *http;
	int option;

	while ((option = getopt_long(argc, argv, "l:n:k:t:b:p:m:v:w:uhV", Options, NULL)) != -1) {
		switch (option) {
		case 'l':
			address = optarg;
			break;
		case 'n':
			e.name = optarg;
			break;
		case 'k':
			e.kv_total_bytes = g_ascii_strtoull(optarg, NULL, 10);
			break;
		case 't':
			e.kv_bytes_per_token = g_ascii_strtoull(optarg, NULL, 10);
			break;
		case 'b':
			e.bytes_per_token = MAX(g_ascii_strtoull(optarg, NULL, 10), 1);
			break;
		case 'p':
			e.prefill_per_s = g_ascii_strtod(optarg, NULL);
			break;
		case 'm':
			e.token_us = (uint64_t)(g_ascii_strtod(optarg, NULL) * 1000);
			break;
		case 'v':
			loaded = optarg;
			break;
		case 'w':
			e.weights = optarg;
			break;
		case 'u':
			e.unfenced = true;
			break;
		case 'V':
			puts("bh-fake-engine " BAYHOIST_VERSION);
			return EX_OK;
		default:
			usage_(option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	if (!address) {
		usage_(stderr);
		return EX_USAGE;
	}
	e.boot_id = clock_new_boot_id();
	log_init(e.name, "none", e.boot_id);
	e.loaded = g_ptr_array_new_with_free_func(g_free);
	if (loaded)
		g_ptr_array_add(e.loaded, g_strdup(loaded));
	e.base = event_base_new();
	e.attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt_);
	e.cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	e.cache_log = g_ptr_array_new_with_free_func(g_free);
	e.cache_log_first = 1;
	e.last_tick_us = clock_now_us();
	http = web_listen(e.base, address, on_request_, &e);
	if (!http) {
		log_error("listen-failed", "address=%s", address);
		return EX_UNAVAILABLE;
	}
	event_add(event_new(e.base, -1, EV_PERSIST, on_tick_, &e), &tick);
	web_run_until_signal(e.base);
	return EX_OK;
}
