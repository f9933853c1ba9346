/* SPDX-License-Identifier: BSD-3-Clause */
/* HTTP servers for the directory, the readiness check, and the control interface with the metrics. evhttp is
 * sufficient here, because these requests are small and their bodies are not used. */
#include "gate.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <openssl/crypto.h>
#include <string.h>
#include "bayhoist/address.h"
#include "bayhoist/verdict.h"
#include "clock.h"
#include "crashes.h"
#include "links.h"
#include "log.h"
#include "relay_server.h"
#include "web.h"

#define IDLE_TIMEOUT_S 10 /* time without traffic after which a connection is closed */
#define BODY_MAX_BYTES 65536
#define HEADERS_MAX_BYTES 16384

static struct evhttp *listen_(Gate *g, const char *address, void (*cb)(struct evhttp_request *, void *));
static void on_directory_(struct evhttp_request *req, void *arg);
static void on_readiness_(struct evhttp_request *req, void *arg);
static void on_control_(struct evhttp_request *req, void *arg);
static void release_request_(Gate *g, struct evhttp_request *req);
static bool is_operator_(const Gate *g, struct evhttp_request *req);
static void write_metrics_(Gate *g, struct evbuffer *out);
static void write_histogram_(struct evbuffer *out, const char *name, const char *label,
							 const BH__Histogram *h);

/* What operators can read at the control address, as JSON. */
static const struct {
	const char *path;
	struct json_object *(*describe)(const Gate *g);
} Views_[] = {
	{"/quarantine", crash_view_describe},      {"/endpoints", endpoints_describe}, {"/links", links_describe},
	{"/prefill", cluster_describe_division},   {"/bookings", bookings_describe},   {"/halls", halls_describe},
	{"/configuration", configuration_describe}};

static const char *const OutcomeString_[CALL_OUTCOME_COUNT] = {"served", "refused", "failed", "caller-gone"};

/* Starts to listen on the directory, readiness and control addresses. Returns false if one of them can't be
 * used, which is logged. */
bool web_start(Gate *g)
{
	const GateSettings *s = &g->settings;

	g->web[0] = listen_(g, s->directory_address, on_directory_);
	g->web[1] = listen_(g, s->readiness_address, on_readiness_);
	g->web[2] = listen_(g, s->control_address, on_control_);
	return g->web[0] && g->web[1] && g->web[2];
}

/* Stops the servers that were started. */
void web_stop(Gate *g)
{
	for (size_t i = 0; i < G_N_ELEMENTS(g->web); i++)
		if (g->web[i])
			evhttp_free(g->web[i]);
}

/* Starts a server on `address` that passes its requests to `cb`. Returns NULL if it can't listen,
 * which is logged. */
static struct evhttp *listen_(Gate *g, const char *address, void (*cb)(struct evhttp_request *, void *))
{
	struct evhttp *http = evhttp_new(g->base);
	char ip[BH__ADDRESS_LEN];
	uint16_t port;

	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_max_headers_size(http, HEADERS_MAX_BYTES);
	evhttp_set_max_body_size(http, BODY_MAX_BYTES);
	evhttp_set_timeout(http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(http, cb, g);
	if (bh__address_split(address, ip, sizeof ip, &port) && evhttp_bind_socket(http, ip, port) == 0)
		return http;
	log_error("listen-failed", "address=%s", address);
	evhttp_free(http);
	return NULL;
}

/* Counts a directory request and passes it to the platform port. */
static void on_directory_(struct evhttp_request *req, void *arg)
{
	Gate *g = arg;

	g->counters.directory_answers++;
	g->port->answer_directory(g, req);
}

/* Passes a readiness request to the platform port. */
static void on_readiness_(struct evhttp_request *req, void *arg)
{
	Gate *g = arg;

	g->port->answer_readiness(g, req);
}

/* Stores the caller addresses of up to `max` nodes that accept callers in `out` and returns their number.
 * Lists only nodes of `hall` if it has at least two of them, and those of all halls otherwise. `hall` may be
 * NULL. */
unsigned web_list_caller_addresses(Gate *g, const char *hall, const char *out[], unsigned max)
{
	const BH__Members *m = g->members;
	unsigned count = 0;

	for (int only_hall = 1; only_hall >= 0; only_hall--) {
		count = 0;
		for (unsigned i = 0; i < bh__members_get_count(m) && count < max; i++) {
			const BH__MemberInfo *info = bh__members_get(m, i);
			if (!bh__member_is_usable(info) || !info->config_revision ||
				(only_hall && hall && strcmp(info->hall, hall) != 0))
				continue;
			out[count++] = info->caller_address;
		}
		if (count >= 2)
			break;
	}
	return count;
}

/* Answers a request to the control interface. */
static void on_control_(struct evhttp_request *req, void *arg)
{
	Gate *g = arg;
	struct evbuffer *out;

	for (size_t i = 0; i < G_N_ELEMENTS(Views_); i++) {
		if (!strcmp(web_get_path(req), Views_[i].path)) {
			web_reply_json(req, 200, Views_[i].describe(g));
			return;
		}
	}
	if (!strcmp(web_get_path(req), "/quarantine/release")) {
		release_request_(g, req);
		return;
	}
	if (strcmp(web_get_path(req), "/metrics") != 0) {
		web_reply_error(req, 404, NULL, "not-found", "there is no such path");
		return;
	}
	out = evbuffer_new();
	write_metrics_(g, out);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
}

/* Releases a suspected or quarantined request on behalf of an operator. */
static void release_request_(Gate *g, struct evhttp_request *req)
{
	char *text = web_get_query(req, "fingerprint");
	BH__Fingerprint f;

	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST || !is_operator_(g, req))
		web_reply_error(req, 401, NULL, "unauthorized",
						"a release must be a POST request with the nodes' shared key");
	else if (!text || !bh__fingerprint_read(text, &f))
		web_reply_error(req, 400, NULL, "bad-request", "field \"fingerprint\" must be 32 hexadecimal digits");
	else if (!crashes_release(g->crashes, &f))
		web_reply_error(req, 404, NULL, "not-found", "this request is neither suspected nor held");
	else
		web_reply_json(req, 200, crash_view_describe(g));
	g_free(text);
}

/* Returns true if a request carries the nodes' shared key. The comparison takes constant time, so that its
 * duration does not reveal the key. */
static bool is_operator_(const Gate *g, struct evhttp_request *req)
{
	const char *header = web_get_header(req, "Authorization");
	const char *key = header && g_str_has_prefix(header, "Bearer ") ? header + strlen("Bearer ") : "";

	return strlen(key) == strlen(g->settings.peer_key) &&
		   CRYPTO_memcmp(key, g->settings.peer_key, strlen(key)) == 0;
}

/* Writes all metrics of the node in the Prometheus text format. */
static void write_metrics_(Gate *g, struct evbuffer *out)
{
	static const char *const SizeLabel[BH__SIZE_CLASSES] = {"4k", "32k", "100k", "more"};
	const GateCounters *counters = &g->counters;
	GHashTableIter it;
	gpointer name;
	gpointer budget;
	const struct {
		const char *name;
		uint64_t value;
	} metrics[] = {{"requests_total", counters->requests},
				   {"sendings_total", counters->dispatches},
				   {"repeats_total", counters->repeats},
				   {"resumes_total", counters->resumes},
				   {"local_grants_total", counters->local_grants},
				   {"denied_keys_total", counters->denied_keys},
				   {"no_route_total", counters->no_route},
				   {"part_refusals_total", counters->part_refusals},
				   {"stale_refusals_total", counters->stale_refusals},
				   {"directory_answers_total", counters->directory_answers},
				   {"bad_answers_total", counters->bad_answers},
				   {"stop_sendings_total", counters->stop_dispatches},
				   {"stop_refusals_total", counters->stop_refusals},
				   {"stop_unfinished_total{begun=\"no\"}", counters->stop_unfinished[0]},
				   {"stop_unfinished_total{begun=\"yes\"}", counters->stop_unfinished[1]},
				   {"limit_changes_total", counters->limit_changes},
				   {"request_bytes", g->memory_budget.request_bytes},
				   {"answer_bytes", g->memory_budget.answer_bytes},
				   {"read_ahead_bytes", g->read_ahead_bytes},
				   {"no_room_total", g->memory_budget.refusals},
				   {"calls", g_hash_table_size(g->calls)},
				   {"connections", g_hash_table_size(g->inbounds)},
				   {"endpoints", bh__registry_get_count(g->registry)},
				   {"log_lines_left_out_total", log_get_left_out()}};

	for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++)
		evbuffer_add_printf(out, "bayhoist_%s %" G_GUINT64_FORMAT "\n", metrics[i].name, metrics[i].value);
	for (int i = 0; i < BH__DISPATCH_END_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_sending_ends_total{end=\"%s\"} %" G_GUINT64_FORMAT "\n",
							BH__DispatchEndString[i], counters->dispatch_ends[i]);
	for (int i = 0; i < CALL_OUTCOME_COUNT; i++)
		evbuffer_add_printf(out, "bayhoist_outcomes_total{outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
							OutcomeString_[i], counters->outcomes[i]);
	g_hash_table_iter_init(&it, g->budgets);
	while (g_hash_table_iter_next(&it, &name, &budget)) {
		const BH__ServiceRetryBudget *b = budget;
		evbuffer_add_printf(out,
							"bayhoist_repeat_budget{service=\"%s\",what=\"spent\"} %" G_GUINT64_FORMAT "\n"
							"bayhoist_repeat_budget{service=\"%s\",what=\"denied\"} %" G_GUINT64_FORMAT "\n",
							(const char *)name, b->spent, (const char *)name, b->denied);
	}
	for (int i = 0; i < BH__SIZE_CLASSES; i++)
		write_histogram_(out, "first_event_ms", SizeLabel[i], &counters->first_event[i]);
	write_histogram_(out, "grant_wait_ms", "all", &counters->grant_wait);
	write_histogram_(out, "whole_ms", "all", &counters->whole);
	configuration_write_status(g, out);
	platform_sync_write_status(g->platform_sync, out);
	halls_write_status(g, out);
	last_endpoints_write_status(g, out);
	silences_write_status(g, out);
	signals_write_status(g, out);
	cluster_write_status(g->cluster, out);
	crash_view_write_status(g, out);
	links_write_status(g->links, out);
	relay_server_write_status(g->relay_server, out);
}

/* Writes a histogram with cumulative buckets; `label` is the value of its `size` label. */
static void write_histogram_(struct evbuffer *out, const char *name, const char *label,
							 const BH__Histogram *h)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < BH__HISTOGRAM_BUCKETS; i++) {
		sum += h->bucket[i];
		evbuffer_add_printf(
			out, "bayhoist_%s_bucket{size=\"%s\",le=\"%" G_GUINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n", name,
			label, bh__histogram_get_limit_ms(i), sum);
	}
	evbuffer_add_printf(out, "bayhoist_%s_sum{size=\"%s\"} %" G_GUINT64_FORMAT "\n", name, label, h->sum_ms);
	evbuffer_add_printf(out, "bayhoist_%s_count{size=\"%s\"} %" G_GUINT64_FORMAT "\n", name, label, h->count);
}
