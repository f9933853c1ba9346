/* SPDX-License-Identifier: BSD-3-Clause */
/* bench_path: a client that holds many streams at once, to one engine directly or through a node. Prints the
 * time to first token and, with --pid, the processor time of that process for each token. */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>
#include "clock.h"
#include "bayhoist/address.h"
#include "web.h"

typedef struct {
	struct event_base *base;
	const char *address;
	const char *key;
	unsigned tokens;
	unsigned left; /* to start */
	unsigned live;
	uint64_t pieces;
	uint64_t failed;
	GArray *first_us;
} Bench;

typedef struct {
	Bench *bench;
	struct evhttp_connection *conn;
	struct event *end;
	uint64_t start_us;
	bool first;
} Stream;

static void start_(Bench *b);

static void on_data_(struct evhttp_request *req, void *arg)
{
	Stream *s = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *data = (const char *)evbuffer_pullup(in, -1);

	if (!s->first) {
		uint64_t us = clock_now_us() - s->start_us;
		s->first = true;
		g_array_append_val(s->bench->first_us, us);
	}
	for (const char *at = data; at && (at = memmem(at, len - (size_t)(at - data), "data: {", 7)); at++)
		s->bench->pieces++;
}

static void on_end_(evutil_socket_t fd, short what, void *arg)
{
	Stream *s = arg;
	Bench *b = s->bench;

	(void)fd;
	(void)what;
	evhttp_connection_free(s->conn);
	event_free(s->end);
	g_free(s);
	if (b->left)
		start_(b);
	else if (!b->live)
		event_base_loopbreak(b->base);
}

static void on_done_(struct evhttp_request *req, void *arg)
{
	Stream *s = arg;

	s->bench->live--;
	s->bench->failed += !req || evhttp_request_get_response_code(req) != 200;
	event_active(s->end, EV_TIMEOUT, 0);
}

static void start_(Bench *b)
{
	static unsigned number;
	char ip[64];
	uint16_t port;
	char text[120];
	Stream *s = g_new0(Stream, 1);
	struct evhttp_request *req = evhttp_request_new(on_done_, s);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	b->left--;
	b->live++;
	bh__address_split(b->address, ip, sizeof ip, &port);
	s->bench = b;
	s->start_us = clock_now_us();
	s->end = event_new(b->base, -1, 0, on_end_, s);
	s->conn = evhttp_connection_base_new(b->base, NULL, ip, port);
	evhttp_connection_set_timeout(s->conn, 60);
	evhttp_request_set_chunked_cb(req, on_data_);
	evhttp_add_header(headers, "Host", b->address);
	evhttp_add_header(headers, "Connection", "close");
	g_snprintf(text, sizeof text, "Bearer %s", b->key);
	evhttp_add_header(headers, "Authorization", text);
	evbuffer_add_printf(evhttp_request_get_output_buffer(req),
						"{\"model\":\"archive\",\"stream\":true,\"max_tokens\":%u,\"prompt\":\"stream %u\"}",
						b->tokens, number++);
	evhttp_make_request(s->conn, req, EVHTTP_REQ_POST, "/v1/completions");
}

/* Returns the processor time that a process has used, in microseconds. */
static double cpu_us_(int pid)
{
	char path[64];
	char *text = NULL;
	double ticks = 0;

	g_snprintf(path, sizeof path, "/proc/%d/stat", pid);
	if (pid && g_file_get_contents(path, &text, NULL, NULL)) {
		char **field = g_strsplit(strrchr(text, ')') + 2, " ", -1);
		ticks = g_ascii_strtod(field[11], NULL) + g_ascii_strtod(field[12], NULL);
		g_strfreev(field);
	}
	g_free(text);
	return ticks * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

static gint compare_(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;
	return x < y ? -1 : x > y;
}

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"address", required_argument, NULL, 'a'},
											{"key", required_argument, NULL, 'k'},
											{"streams", required_argument, NULL, 's'},
											{"requests", required_argument, NULL, 'r'},
											{"tokens", required_argument, NULL, 't'},
											{"pid", required_argument, NULL, 'p'},
											{NULL, 0, NULL, 0}};
	Bench b = {.key = "none", .tokens = 50, .left = 1};
	unsigned streams = 1;
	int pid = 0;
	int option;
	double cpu;

	while ((option = getopt_long(argc, argv, "a:k:s:r:t:p:", Options, NULL)) != -1) {
		switch (option) {
		case 'a':
			b.address = optarg;
			break;
		case 'k':
			b.key = optarg;
			break;
		case 's':
			streams = (unsigned)atoi(optarg);
			break;
		case 'r':
			b.left = (unsigned)atoi(optarg);
			break;
		case 't':
			b.tokens = (unsigned)atoi(optarg);
			break;
		case 'p':
			pid = atoi(optarg);
			break;
		default:
			return EX_USAGE;
		}
	}
	if (!b.address)
		return EX_USAGE;
	signal(SIGPIPE, SIG_IGN);
	b.base = event_base_new();
	b.first_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	cpu = cpu_us_(pid);
	for (unsigned i = 0; i < streams && b.left; i++)
		start_(&b);
	event_base_dispatch(b.base);
	cpu = cpu_us_(pid) - cpu;
	g_array_sort(b.first_us, compare_);
	printf("first_token_us=%" G_GUINT64_FORMAT " first_token_p95_us=%" G_GUINT64_FORMAT
		   " cpu_per_token_us=%.2f pieces=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT "\n",
		   b.first_us->len ? g_array_index(b.first_us, uint64_t, b.first_us->len / 2) : 0,
		   b.first_us->len ? g_array_index(b.first_us, uint64_t, b.first_us->len * 95 / 100) : 0,
		   b.pieces ? cpu / (double)b.pieces : 0, b.pieces, b.failed);
	return EX_OK;
}
