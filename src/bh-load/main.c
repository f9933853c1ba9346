/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-load: callers. Each of --clients callers asks "where", sends requests of unlike lengths one after
 * another, retries as a careful caller may, checks each answer, and writes a history that bh-check judges. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <getopt.h>
#include <glib.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <xxhash.h>
#include "bayhoist/address.h"
#include "bayhoist/field.h"
#include "bayhoist/types.h"
#include "clock.h"
#include "prompt.h"
#include "version.h"
#include "web.h"

#define PATIENCE_US (20 * BH__SECOND_US) /* for which a caller tries again */
#define UNREACHABLE_PAUSE_MS 20          /* more with each try */
#define UNREACHABLE_PAUSE_MAX_MS 500
#define CALL_TIMEOUT_S 90
#define RETRY_MAX_MS 1000
#define ADDRESSES_MAX 16
#define BYTES_PER_TOKEN 4

typedef enum {
	CLASS_PAGE,
	CLASS_MANUAL,
	CLASS_ARCHIVE,
	CLASS_GANG,
	CLASS_NOTICE,
	CLASS_SERVICE,
	CLASS_COUNT
} Class;

static const char *const ClassString[] = {"page", "manual", "archive", "gang", "notice", "service"};

typedef struct {
	struct event_base *base;
	gsl_rng *rng;
	FILE *history;
	const char *model;
	const char *service;
	char **bootstrap;
	double share[CLASS_COUNT];
	uint64_t archive_tokens;
	uint64_t gang_tokens;
	uint64_t max_tokens;
	uint64_t requests_left; /* UINT64_MAX: until the time is up */
	uint64_t end_us;
	uint64_t pace_ms;
	unsigned accounts;
	unsigned live_clients;
	uint64_t next_call;
	uint64_t seed;
	GArray *ttft_us[CLASS_COUNT];
	uint64_t whole;
	uint64_t verdicts;
	uint64_t lost;
} Load;

typedef struct {
	Load *load;
	unsigned index;
	char address[ADDRESSES_MAX][BH__ADDRESS_LEN];
	unsigned address_count;
	unsigned address_at;
	uint64_t where_until_us;
	char stamp[80];
	struct event *timer;
	/* the call under way */
	uint64_t call;
	Class class;
	char *body;
	size_t body_len;
	uint64_t text_hash;
	uint64_t tokens;
	unsigned tries;
	char key[40];
	char call_stamp[80]; /* the stamp that the call began with */
	uint64_t call_start_us;
	/* the try under way */
	struct evhttp_connection *conn;
	struct evbuffer *lines;
	uint64_t start_us;
	uint64_t first_us;
	uint64_t pieces;
	bool done;
	bool wrong; /* a piece that is not the one expected */
	bool event_error;
	char verdict[24];
	char reason[40];
	uint64_t retry_after_ms;
} Client;

static void start_where_(Client *c);
static void on_where_(struct evhttp_request *req, void *arg);
static void start_call_(Client *c);
static Class pick_class_(Load *l);
static void make_body_(Client *c);
static void start_try_(Client *c);
static int on_head_(struct evhttp_request *req, void *arg);
static void on_data_(struct evhttp_request *req, void *arg);
static void read_lines_(Client *c);
static void take_piece_(Client *c, const char *json, size_t len);
static void take_error_(Client *c, const char *json, size_t len);
static void on_done_(struct evhttp_request *req, void *arg);
static const char *judge_try_(Client *c, int status);
static void on_timer_(evutil_socket_t fd, short what, void *arg);
static void end_call_(Client *c, const char *outcome);
static void wait_ms_(Client *c, uint64_t ms);
static void report_(Load *l);

static void wait_ms_(Client *c, uint64_t ms)
{
	struct timeval t = {(time_t)(ms / 1000), (suseconds_t)(ms % 1000) * 1000};
	evtimer_add(c->timer, &t);
}

static const char *address_(Client *c)
{
	Load *l = c->load;
	if (c->address_count)
		return c->address[c->address_at % c->address_count];
	return l->bootstrap[c->address_at % g_strv_length(l->bootstrap)];
}

static struct evhttp_request *new_request_(Client *c, void (*cb)(struct evhttp_request *, void *),
										   int timeout_s)
{
	char ip[64] = "";
	uint16_t port = 0;
	char key[64];
	struct evhttp_request *req = evhttp_request_new(cb, c);

	bh__address_split(address_(c), ip, sizeof ip, &port);
	if (c->conn)
		evhttp_connection_free(c->conn);
	c->conn = evhttp_connection_base_new(c->load->base, NULL, ip, port);
	evhttp_connection_set_timeout(c->conn, timeout_s);
	g_snprintf(key, sizeof key, "Bearer caller-key-%u", c->index % c->load->accounts + 1);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Authorization", key);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", address_(c));
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	return req;
}

static void start_where_(Client *c)
{
	struct evhttp_request *req = new_request_(c, on_where_, 2);
	evhttp_make_request(c->conn, req, EVHTTP_REQ_GET, "/v1/where");
}

static void on_where_(struct evhttp_request *req, void *arg)
{
	Client *c = arg;
	const char *data;
	size_t len;
	struct json_object *root;
	struct json_object *list = NULL;

	if (!req || evhttp_request_get_response_code(req) != 200) {
		c->address_at++;
		if (c->address_at >= c->address_count) /* all that we were told are gone: start over */
			c->address_count = 0;
		wait_ms_(c, 50);
		return;
	}
	web_get_body(req, &data, &len);
	root = bh__json_parse(data, len, NULL);
	if (json_object_object_get_ex(root, "addresses", &list)) {
		c->address_count = 0;
		c->address_at = 0;
		for (size_t i = 0; i < json_object_array_length(list) && i < ADDRESSES_MAX; i++)
			g_strlcpy(c->address[c->address_count++],
					  json_object_get_string(json_object_array_get_idx(list, i)), BH__ADDRESS_LEN);
		g_strlcpy(c->stamp, json_object_get_string(json_object_object_get(root, "stamp")), sizeof c->stamp);
		c->where_until_us =
			clock_now_us() +
			(uint64_t)json_object_get_int64(json_object_object_get(root, "ttl_s")) * BH__SECOND_US;
	}
	json_object_put(root);
	wait_ms_(c, 0);
}

static Class pick_class_(Load *l)
{
	double x = gsl_rng_uniform(l->rng);

	for (int k = CLASS_MANUAL; k < CLASS_COUNT; k++) {
		if (x < l->share[k])
			return (Class)k;
		x -= l->share[k];
	}
	return CLASS_PAGE;
}

/* Makes a prompt that no other call has, so that its hash names the call. */
static void make_body_(Client *c)
{
	static const char Filler[] =
		"the quick brown fox jumps over the lazy dog and runs on through the archive ";
	Load *l = c->load;
	GString *text = g_string_new(NULL);
	GString *body = g_string_new(NULL);
	uint64_t bytes;

	switch (c->class) {
	case CLASS_MANUAL:
		c->tokens = (uint64_t)gsl_ran_flat(l->rng, 4096, 32768);
		break;
	case CLASS_ARCHIVE:
		c->tokens = l->archive_tokens;
		break;
	case CLASS_GANG:
		c->tokens = l->gang_tokens;
		break;
	case CLASS_SERVICE:
		c->tokens = 20;
		break;
	default:
		c->tokens = (uint64_t)gsl_ran_flat(l->rng, 1024, 4096);
		break;
	}
	bytes = c->tokens * BYTES_PER_TOKEN;
	g_string_printf(text, "call %" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT " ", l->seed, c->call);
	while (text->len < bytes)
		g_string_append_len(text, Filler, (gssize)MIN(sizeof Filler - 1, bytes - text->len));
	if (c->class == CLASS_SERVICE)
		g_string_append(body, text->str);
	else
		g_string_printf(
			body, "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%" G_GUINT64_FORMAT ",\"prompt\":\"%s\"}",
			l->model, l->max_tokens, text->str);
	c->text_hash = XXH64(text->str, text->len, 4);
	g_string_free(text, TRUE);
	g_free(c->body);
	c->body_len = body->len;
	c->body = g_string_free(body, FALSE);
}

static void start_call_(Client *c)
{
	Load *l = c->load;

	if (!l->requests_left || clock_now_us() >= l->end_us) {
		if (--l->live_clients == 0)
			event_base_loopbreak(l->base);
		return;
	}
	l->requests_left--;
	c->call = ++l->next_call;
	c->class = pick_class_(l);
	c->tries = 0;
	c->call_start_us = clock_now_us();
	make_body_(c);
	g_snprintf(c->key, sizeof c->key, "key-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, l->seed, c->call);
	g_strlcpy(c->call_stamp, c->stamp, sizeof c->call_stamp);
	start_try_(c);
}

static void start_try_(Client *c)
{
	struct evhttp_request *req = new_request_(c, on_done_, CALL_TIMEOUT_S);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char path[100] = "/v1/completions";

	c->tries++;
	c->start_us = clock_now_us();
	c->first_us = 0;
	c->pieces = 0;
	c->done = c->wrong = c->event_error = false;
	c->verdict[0] = c->reason[0] = '\0';
	c->retry_after_ms = 0;
	evbuffer_drain(c->lines, evbuffer_get_length(c->lines));
	evhttp_add_header(headers, "Content-Type", "application/json");
	if (c->class == CLASS_NOTICE || c->class == CLASS_SERVICE) {
		evhttp_add_header(headers, "X-Bayhoist-Repeatable", "no");
		evhttp_add_header(headers, "Idempotency-Key", c->key);
		evhttp_add_header(headers, "X-Bayhoist-Stamp", c->call_stamp);
	}
	if (c->class == CLASS_SERVICE)
		g_snprintf(path, sizeof path, "/v1/services/%s/offer", c->load->service);
	evhttp_request_set_header_cb(req, on_head_);
	evhttp_request_set_chunked_cb(req, on_data_);
	evbuffer_add(evhttp_request_get_output_buffer(req), c->body, c->body_len);
	evhttp_make_request(c->conn, req, EVHTTP_REQ_POST, path);
}

static int on_head_(struct evhttp_request *req, void *arg)
{
	Client *c = arg;
	const char *verdict = web_get_header(req, "X-Bayhoist-Verdict");
	const char *retry = web_get_header(req, "Retry-After");

	g_strlcpy(c->verdict, verdict ? verdict : "", sizeof c->verdict);
	c->retry_after_ms = retry ? g_ascii_strtoull(retry, NULL, 10) * 1000 : 0;
	return 0;
}

static void on_data_(struct evhttp_request *req, void *arg)
{
	Client *c = arg;

	evbuffer_add_buffer(c->lines, evhttp_request_get_input_buffer(req));
	if (evhttp_request_get_response_code(req) == 200 && c->class != CLASS_SERVICE)
		read_lines_(c);
}

static void read_lines_(Client *c)
{
	char *line;
	size_t len;

	while ((line = evbuffer_readln(c->lines, &len, EVBUFFER_EOL_LF))) {
		if (!strcmp(line, "event: error"))
			c->event_error = true;
		else if (!strcmp(line, "data: [DONE]"))
			c->done = true;
		else if (!strncmp(line, "data: ", 6) && c->event_error)
			take_error_(c, line + 6, len - 6);
		else if (!strncmp(line, "data: ", 6))
			take_piece_(c, line + 6, len - 6);
		free(line);
	}
}

static void take_piece_(Client *c, const char *json, size_t len)
{
	char *text = prompt_get_piece_text(json, len);
	char *expected = prompt_expected_piece(c->text_hash, c->pieces);

	if (!c->pieces)
		c->first_us = clock_now_us();
	c->wrong |= !text || strcmp(text, expected) != 0;
	c->pieces++;
	g_free(text);
	g_free(expected);
}

/* An error after the stream began, or an error body, tells verdict and reason. */
static void take_error_(Client *c, const char *json, size_t len)
{
	struct json_object *root = bh__json_parse(json, len, NULL);
	struct json_object *error =
		json_object_is_type(root, json_type_object) ? json_object_object_get(root, "error") : NULL;
	if (json_object_is_type(error, json_type_object)) {
		const char *verdict = json_object_get_string(json_object_object_get(error, "verdict"));
		const char *reason = json_object_get_string(json_object_object_get(error, "type"));
		g_strlcpy(c->verdict, verdict ? verdict : "", sizeof c->verdict);
		g_strlcpy(c->reason, reason ? reason : "", sizeof c->reason);
	}
	json_object_put(root);
}

/* Returns how a try ended: "whole", a verdict, "refused-connection" (nothing was sent) or "lost". */
static const char *judge_try_(Client *c, int status)
{
	if (c->wrong)
		return "wrong";
	if (status == 200 && c->class == CLASS_SERVICE)
		return "whole";
	if (status == 200 && c->done)
		return c->pieces == c->load->max_tokens ? "whole" : "short";
	if (c->verdict[0])
		return c->verdict;
	return "lost";
}

static void on_done_(struct evhttp_request *req, void *arg)
{
	Client *c = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;
	const char *end;
	bool unreachable = req && !status;
	bool once = c->class == CLASS_NOTICE || c->class == CLASS_SERVICE;

	if (status && status != 200) {
		size_t len = evbuffer_get_length(c->lines);
		take_error_(c, (const char *)evbuffer_pullup(c->lines, -1), len);
	}
	end = unreachable ? "unreachable" : judge_try_(c, status);
	fprintf(c->load->history,
			"try call=%" G_GUINT64_FORMAT " class=%s once=%d hash=%016" G_GINT64_MODIFIER
			"x n=%u address=%s start_us=%" G_GUINT64_FORMAT " end_us=%" G_GUINT64_FORMAT
			" status=%d end=%s reason=%s pieces=%" G_GUINT64_FORMAT "\n",
			c->call, ClassString[c->class], once, c->text_hash, c->tries, address_(c), c->start_us,
			clock_now_us(), status, end, c->reason[0] ? c->reason : "none", c->pieces);
	if (!strcmp(end, "whole")) {
		uint64_t ttft_us = (c->first_us ? c->first_us : clock_now_us()) - c->start_us;
		g_array_append_val(c->load->ttft_us[c->class], ttft_us);
		end_call_(c, "whole");
		return;
	}
	/* a careful caller tries again unless it was told that the request may have run */
	if (clock_now_us() < c->call_start_us + PATIENCE_US &&
		(unreachable || !strcmp(end, "lost") || !strcmp(end, "not-run"))) {
		if (unreachable || !strcmp(end, "lost"))
			c->address_at++;
		wait_ms_(c, unreachable ? MIN((uint64_t)UNREACHABLE_PAUSE_MS * c->tries, UNREACHABLE_PAUSE_MAX_MS)
								: CLAMP(c->retry_after_ms, 50, RETRY_MAX_MS));
		return;
	}
	end_call_(c, unreachable ? "lost" : end);
}

static void end_call_(Client *c, const char *outcome)
{
	Load *l = c->load;

	fprintf(l->history,
			"call call=%" G_GUINT64_FORMAT " class=%s hash=%016" G_GINT64_MODIFIER
			"x tokens=%" G_GUINT64_FORMAT " tries=%u ms=%" G_GUINT64_FORMAT " outcome=%s\n",
			c->call, ClassString[c->class], c->text_hash, c->tokens, c->tries,
			(clock_now_us() - c->call_start_us) / BH__MS_US, outcome);
	l->whole += !strcmp(outcome, "whole");
	l->lost += !strcmp(outcome, "lost");
	l->verdicts += strcmp(outcome, "whole") != 0 && strcmp(outcome, "lost") != 0;
	c->tries = 0;
	wait_ms_(c, l->pace_ms);
}

static void on_timer_(evutil_socket_t fd, short what, void *arg)
{
	Client *c = arg;

	(void)fd;
	(void)what;
	if (c->tries > 0)
		start_try_(c);
	else if (clock_now_us() >= c->where_until_us)
		start_where_(c);
	else
		start_call_(c);
}

static gint compare_u64_(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;
	return x < y ? -1 : x > y;
}

static void report_(Load *l)
{
	for (int k = 0; k < CLASS_COUNT; k++) {
		GArray *a = l->ttft_us[k];
		if (!a->len)
			continue;
		g_array_sort(a, compare_u64_);
		printf("class=%s whole=%u ttft_p50_ms=%.1f ttft_p95_ms=%.1f ttft_p99_ms=%.1f\n", ClassString[k],
			   a->len, (double)g_array_index(a, uint64_t, a->len / 2) / 1e3,
			   (double)g_array_index(a, uint64_t, a->len * 95 / 100) / 1e3,
			   (double)g_array_index(a, uint64_t, a->len * 99 / 100) / 1e3);
	}
	printf("calls=%" G_GUINT64_FORMAT " whole=%" G_GUINT64_FORMAT " verdicts=%" G_GUINT64_FORMAT
		   " lost=%" G_GUINT64_FORMAT "\n",
		   l->next_call, l->whole, l->verdicts, l->lost);
}

static void usage_(FILE *out)
{
	fputs("Usage: bh-load --nodes IP:PORT,... --history FILE [--clients N] [--requests N | --seconds N] "
		  "[--seed N]\n"
		  "  [--model NAME] [--service NAME] [--accounts N] [--manual S] [--archive S] [--gang S] [--notice "
		  "S]\n"
		  "  [--services S] [--archive-tokens N] [--gang-tokens N] [--max-tokens N] [--pace-ms N]\n"
		  "S is the share of requests of that kind; the rest ask about one page.\n",
		  out);
}

int main(int argc, char **argv)
{
	enum {
		O_SECONDS = 256,
		O_MODEL,
		O_SERVICE,
		O_ACCOUNTS,
		O_MANUAL,
		O_ARCHIVE,
		O_GANG,
		O_NOTICE,
		O_SERVICES,
		O_ARCHIVE_TOKENS,
		O_GANG_TOKENS,
		O_MAX_TOKENS,
		O_PACE
	};
	static const struct option Options[] = {{"nodes", required_argument, NULL, 'n'},
											{"history", required_argument, NULL, 'o'},
											{"clients", required_argument, NULL, 'c'},
											{"requests", required_argument, NULL, 'r'},
											{"seed", required_argument, NULL, 's'},
											{"seconds", required_argument, NULL, O_SECONDS},
											{"model", required_argument, NULL, O_MODEL},
											{"service", required_argument, NULL, O_SERVICE},
											{"accounts", required_argument, NULL, O_ACCOUNTS},
											{"manual", required_argument, NULL, O_MANUAL},
											{"archive", required_argument, NULL, O_ARCHIVE},
											{"gang", required_argument, NULL, O_GANG},
											{"notice", required_argument, NULL, O_NOTICE},
											{"services", required_argument, NULL, O_SERVICES},
											{"archive-tokens", required_argument, NULL, O_ARCHIVE_TOKENS},
											{"gang-tokens", required_argument, NULL, O_GANG_TOKENS},
											{"max-tokens", required_argument, NULL, O_MAX_TOKENS},
											{"pace-ms", required_argument, NULL, O_PACE},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	Load l = {.model = "archive",
			  .service = "notices",
			  .requests_left = UINT64_MAX,
			  .end_us = UINT64_MAX,
			  .accounts = 3,
			  .archive_tokens = 200000,
			  .gang_tokens = 820000,
			  .max_tokens = 16,
			  .seed = 1,
			  .pace_ms = 1};
	unsigned clients = 4;
	const char *history = NULL;
	Client *all;
	int option;

	while ((option = getopt_long(argc, argv, "n:o:c:r:s:hV", Options, NULL)) != -1) {
		uint64_t n = optarg ? g_ascii_strtoull(optarg, NULL, 10) : 0;
		double share = optarg ? g_ascii_strtod(optarg, NULL) : 0;
		switch (option) {
		case 'n':
			l.bootstrap = g_strsplit(optarg, ",", -1);
			break;
		case 'o':
			history = optarg;
			break;
		case 'c':
			clients = (unsigned)n;
			break;
		case 'r':
			l.requests_left = n;
			break;
		case 's':
			l.seed = n;
			break;
		case O_SECONDS:
			l.end_us = clock_now_us() + n * BH__SECOND_US;
			break;
		case O_MODEL:
			l.model = optarg;
			break;
		case O_SERVICE:
			l.service = optarg;
			break;
		case O_ACCOUNTS:
			l.accounts = (unsigned)MAX(n, 1);
			break;
		case O_MANUAL:
			l.share[CLASS_MANUAL] = share;
			break;
		case O_ARCHIVE:
			l.share[CLASS_ARCHIVE] = share;
			break;
		case O_GANG:
			l.share[CLASS_GANG] = share;
			break;
		case O_NOTICE:
			l.share[CLASS_NOTICE] = share;
			break;
		case O_SERVICES:
			l.share[CLASS_SERVICE] = share;
			break;
		case O_ARCHIVE_TOKENS:
			l.archive_tokens = n;
			break;
		case O_GANG_TOKENS:
			l.gang_tokens = n;
			break;
		case O_MAX_TOKENS:
			l.max_tokens = n;
			break;
		case O_PACE:
			l.pace_ms = n;
			break;
		case 'V':
			puts("bh-load " BAYHOIST_VERSION);
			return EX_OK;
		default:
			usage_(option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	if (!l.bootstrap || !history || !clients) {
		usage_(stderr);
		return EX_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	l.history = fopen(history, "w");
	if (!l.history) {
		fprintf(stderr, "bh-load: %s cannot be written\n", history);
		return EX_CANTCREAT;
	}
	l.base = event_base_new();
	l.rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(l.rng, l.seed);
	for (int k = 0; k < CLASS_COUNT; k++)
		l.ttft_us[k] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	l.live_clients = clients;
	all = g_new0(Client, clients);
	for (unsigned i = 0; i < clients; i++) {
		all[i].load = &l;
		all[i].index = i;
		all[i].address_at = i;
		all[i].lines = evbuffer_new();
		all[i].timer = evtimer_new(l.base, on_timer_, &all[i]);
		wait_ms_(&all[i], i % 50);
	}
	event_base_dispatch(l.base);
	report_(&l);
	fclose(l.history);
	return EX_OK;
}
