/* SPDX-License-Identifier: BSD-3-Clause */
/* bh-fake-service: a small stand-in for a plain service beside the engines. It echoes what it was sent and
 * logs every call that it ran. Faults: POST /fault {"slow_ms": N, "fail_before": N, "cut_after": N,
 * "cut_head": N, "cut_interim": N, "odd_head": N}: refuse the next N calls as not run; run the next N and
 * break the connection instead of answering; run the next one and close the connection behind N bytes of the
 * answer's head, or of an interim one and that; run the next one and answer with the Nth head that is none.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sysexits.h>
#include <xxhash.h>
#include "bayhoist/field.h"
#include "clock.h"
#include "log.h"
#include "version.h"
#include "web.h"

#define INTERIM_ "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
#define HEAD_ "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"

/* Whole answers in whose heads something is wrong, or right, as in the last one. */
static const char *const OddHeads_[] = {
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 001 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 O\001K\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX-Bad : v\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\n X-Bad: v\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX\001Bad: v\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX-Bad: a\001b\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length : 200\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Odd!#$%&'*+-.^_`|~: \t\"(x): \351\r\n\r\n{}",
};

typedef struct {
	struct event_base *base;
	uint64_t slow_ms;
	uint64_t fail_before;
	uint64_t cut_after;
	uint64_t cut_head;    /* bytes; 0: the head is whole */
	uint64_t cut_interim; /* the same of an interim head and the final one */
	uint64_t odd_head;    /* 1 for the first of OddHeads_; 0: none */
	uint64_t calls;
} Service;

typedef struct {
	Service *service;
	struct evhttp_request *req;
	bool cut;
} Call;

/* Closes a call's connection behind so many bytes of its answer's head. They fit in the socket's buffer. */
static void cut_head_(const Call *c, const char *head, size_t len)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(c->req);
	evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));

	if (send(fd, head, MIN(len, strlen(head)), 0) < 0)
		log_event("fault", "what=head-not-sent");
	evhttp_connection_free(conn);
}

static void on_due_(evutil_socket_t fd, short what, void *arg)
{
	Call *c = arg;
	const char *data;
	size_t len;
	struct json_object *o;

	(void)fd;
	(void)what;
	if (c->service->cut_head || c->service->cut_interim) {
		if (c->service->cut_head)
			cut_head_(c, HEAD_, c->service->cut_head);
		else
			cut_head_(c, INTERIM_ HEAD_, c->service->cut_interim);
		c->service->cut_head = c->service->cut_interim = 0;
		g_free(c);
		return;
	}
	if (c->service->odd_head > 0 && c->service->odd_head <= G_N_ELEMENTS(OddHeads_)) {
		cut_head_(c, OddHeads_[c->service->odd_head - 1], SIZE_MAX);
		c->service->odd_head = 0;
		g_free(c);
		return;
	}
	if (c->cut) {
		evhttp_connection_free(evhttp_request_get_connection(c->req));
		g_free(c);
		return;
	}
	web_get_body(c->req, &data, &len);
	o = json_object_new_object();
	json_object_object_add(o, "path", json_object_new_string(evhttp_request_get_uri(c->req)));
	json_object_object_add(o, "bytes", json_object_new_int64((int64_t)len));
	json_object_object_add(o, "echo", json_object_new_string_len(data, (int)MIN(len, 4096u)));
	web_reply_json(c->req, 200, o);
	g_free(c);
}

static void on_fault_(Service *s, struct evhttp_request *req, const char *data, size_t len)
{
	struct json_object *fault = bh__json_parse(data, len, NULL);

	if (json_object_is_type(fault, json_type_object)) {
		json_object_object_foreach(fault, name, value)
		{
			uint64_t n = (uint64_t)json_object_get_int64(value);
			if (!strcmp(name, "slow_ms"))
				s->slow_ms = n;
			else if (!strcmp(name, "fail_before"))
				s->fail_before = n;
			else if (!strcmp(name, "cut_after"))
				s->cut_after = n;
			else if (!strcmp(name, "cut_head"))
				s->cut_head = n;
			else if (!strcmp(name, "cut_interim"))
				s->cut_interim = n;
			else if (!strcmp(name, "odd_head"))
				s->odd_head = n;
			log_event("fault", "switch=%s value=%" G_GUINT64_FORMAT, name, n);
		}
	}
	json_object_put(fault);
	web_reply_json(req, 200, json_object_new_object());
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	Service *s = arg;
	const char *data;
	const char *attempt = web_get_header(req, "X-Bayhoist-Attempt");
	size_t len;
	struct timeval delay = {(time_t)(s->slow_ms / 1000), (suseconds_t)(s->slow_ms % 1000) * 1000};
	Call *c;

	web_get_body(req, &data, &len);
	if (!strcmp(web_get_path(req), "/fault")) {
		on_fault_(s, req, data, len);
		return;
	}
	if (s->fail_before) {
		s->fail_before--;
		web_reply_error(req, 503, "not-run", "overload", "not taken");
		return;
	}
	log_event("service-run", "attempt=%s path=%s hash=%016" G_GINT64_MODIFIER "x", attempt ? attempt : "none",
			  web_get_path(req), (uint64_t)XXH64(data, len, 4));
	c = g_new0(Call, 1);
	c->service = s;
	c->req = req;
	c->cut = s->cut_after > 0;
	s->cut_after -= s->cut_after > 0;
	event_base_once(s->base, -1, EV_TIMEOUT, on_due_, c, &delay);
}

int main(int argc, char **argv)
{
	static const struct option Options[] = {{"listen", required_argument, NULL, 'l'},
											{"name", required_argument, NULL, 'n'},
											{"help", no_argument, NULL, 'h'},
											{"version", no_argument, NULL, 'V'},
											{NULL, 0, NULL, 0}};
	const char *address = "127.0.0.1:8301";
	const char *name = "service";
	Service s = {0};
	int option;

	while ((option = getopt_long(argc, argv, "l:n:hV", Options, NULL)) != -1) {
		switch (option) {
		case 'l':
			address = optarg;
			break;
		case 'n':
			name = optarg;
			break;
		case 'V':
			puts("bh-fake-service " BAYHOIST_VERSION);
			return EX_OK;
		default:
			fputs("Usage: bh-fake-service [--listen IP:PORT] [--name NAME]\n",
				  option == 'h' ? stdout : stderr);
			return option == 'h' ? EX_OK : EX_USAGE;
		}
	}
	log_init(name, "none", clock_new_boot_id());
	s.base = event_base_new();
	if (!web_listen(s.base, address, on_request_, &s)) {
		log_error("listen-failed", "address=%s", address);
		return EX_UNAVAILABLE;
	}
	web_run_until_signal(s.base);
	return EX_OK;
}
