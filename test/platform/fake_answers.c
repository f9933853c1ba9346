/* SPDX-License-Identifier: BSD-3-Clause */
/* Answers that an engine in trouble may give, written to its connection byte for byte: evhttp would put them
 * right. Each is a head, a beginning, and bytes that are repeated until the other side closes, fast or one by
 * one, if it has no end. */
#include "fake_answers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include "web.h"

#define FILL_MS 5               /* between looks at how much of an endless answer was taken */
#define FILL_BYTES (256 * 1024) /* kept ready of an endless answer */
#define DRIP_MS 1000            /* between the bytes of a slow one */
#define OK_ "HTTP/1.1 200 OK\r\n"
#define STREAM_ "Content-Type: text/event-stream\r\n"
#define CHUNKED_ "Transfer-Encoding: chunked\r\n"
#define CLOSE_ "Connection: close\r\n"
#define OTHER_ "X-Attempt-Id: earlier\r\n" /* names another request than the one that is answered */
#define PROOF_ "X-Replica-Signature: stand-in\r\n"
#define NOT_RUN_ "X-Not-Executed: 1\r\n"
#define EMPTY_ "Content-Length: 0\r\n\r\n"
#define WHOLE_ "Content-Type: text/plain\r\nContent-Length: 6\r\n"
#define HINTS_ "HTTP/1.1 103 Early Hints\r\n"

/* One kind of answer. In `head` and `body` "%u" stands for the id of the event that is due. */
typedef struct {
	const char *kind;
	const char *status; /* status line */
	bool is_signed;     /* with the request's id and a proof */
	const char *head;   /* further headers and the end of the head; NULL: the head has none */
	const char *body;
	const char *repeated; /* after the body; NULL: the connection is closed then */
	size_t repeated_max;  /* bytes of that, after which the connection is closed; 0: no end */
} Kind;

static const Kind Kinds_[] = {
	{"next-500", "HTTP/1.1 500 Broken\r\n", true, "Content-Length: 26\r\n\r\n", "failed: this is no stream\n",
	 NULL, 0},
	{"next-500-chunked", "HTTP/1.1 500 Broken\r\n", true, CHUNKED_ "\r\n", "8\r\nfailed:\n\r\n0\r\n\r\n",
	 NULL, 0},
	{"next-500-bare", "HTTP/1.1 500 Broken\r\n", true, CLOSE_ "\r\n", "failed", NULL, 0},
	{"next-503", "HTTP/1.1 503 Busy\r\n", true, "Content-Length: 5\r\n\r\n", "busy\n", NULL, 0},
	{"next-not-run", "HTTP/1.1 503 Busy\r\n", true, "X-Not-Executed: 1\r\nContent-Length: 5\r\n\r\n",
	 "busy\n", NULL, 0},
	{"next-504", "HTTP/1.1 504 Late\r\n", true, "Content-Length: 5\r\n\r\n", "late\n", NULL, 0},
	{"next-429", "HTTP/1.1 429 Slow\r\n", true, "Content-Length: 5\r\n\r\n", "slow\n", NULL, 0},
	{"next-404", "HTTP/1.1 404 None\r\n", true, "Content-Length: 5\r\n\r\n", "none\n", NULL, 0},
	{"next-302", "HTTP/1.1 302 Moved\r\n", true, "Location: /x\r\nContent-Length: 0\r\n\r\n", "", NULL, 0},
	{"next-204", "HTTP/1.1 204 Nothing\r\n", true, "\r\n", "", NULL, 0},
	{"next-206", "HTTP/1.1 206 Some\r\n", true, STREAM_ CLOSE_ "\r\n", "id: %u\ndata: some\n\n", NULL, 0},
	{"next-text", OK_, true, "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n", "text\n", NULL, 0},
	{"next-coded", OK_, true, STREAM_ "Content-Encoding: x-other\r\n" CLOSE_ "\r\n",
	 "id: %u\ndata: coded\n\n", NULL, 0},
	{"next-unsigned", OK_, false, STREAM_ CLOSE_ "\r\n", "id: %u\ndata: unsigned\n\n", NULL, 0},
	{"next-anew", OK_, true, STREAM_ CLOSE_ "\r\n",
	 "id: 1\ndata: anew 1\n\nid: 2\ndata: anew 2\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n",
	 NULL, 0},
	{"next-skip", OK_, true, STREAM_ CLOSE_ "\r\n", "id: 1%u\ndata: skipped\n\n", NULL, 0},
	{"next-no-id", OK_, true, STREAM_ CLOSE_ "\r\n", "data: without an id\n\n", NULL, 0},
	{"next-half", OK_, true, STREAM_ CLOSE_ "\r\n", "id: %u\ndata: ha", NULL, 0},
	{"next-prefix", OK_, true, STREAM_ CLOSE_ "\r\n", "a word first\nid: %u\ndata: x\n\n", NULL, 0},
	{"next-none", OK_, true, STREAM_ CLOSE_ "\r\n", "", NULL, 0},
	{"next-comment", OK_, true, STREAM_ CLOSE_ "\r\n", ": a comment\n\n", NULL, 0},
	{"first-no-id", OK_, true, STREAM_ CHUNKED_ "\r\n", "9\r\ndata: x\n\n\r\n", NULL, 0},
	{"first-500-large", "HTTP/1.1 500 Broken\r\n", true, CLOSE_ "\r\n", "", "failed: this is no stream\n",
	 600000},
	{"first-plain", OK_, true, "Content-Type: text/plain\r\nContent-Length: 1000000\r\n\r\n", "",
	 "plain text\n", 600000},
	{"other-503", "HTTP/1.1 503 Busy\r\n", false, OTHER_ NOT_RUN_ "Retry-After: 0.1\r\n" EMPTY_, "", NULL, 0},
	{"other-503-proof", "HTTP/1.1 503 Busy\r\n", false, OTHER_ PROOF_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"other-503-run", "HTTP/1.1 503 Busy\r\n", false, OTHER_ PROOF_ EMPTY_, "", NULL, 0},
	{"other-429", "HTTP/1.1 429 Slow\r\n", false, OTHER_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"other-421", "HTTP/1.1 421 Misdirected\r\n", false, OTHER_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"other-421-bare", "HTTP/1.1 421 Misdirected\r\n", false, OTHER_ EMPTY_, "", NULL, 0},
	{"other-408", "HTTP/1.1 408 Late\r\n", false, OTHER_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"other-400", "HTTP/1.1 400 Bad\r\n", false, OTHER_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"other-500", "HTTP/1.1 500 Broken\r\n", false, OTHER_ PROOF_ EMPTY_, "", NULL, 0},
	{"other-200", OK_, false, OTHER_ PROOF_ STREAM_ "Content-Length: 20\r\n\r\n", "id: %u\ndata: another\n",
	 NULL, 0},
	{"other-200-not-run", OK_, false, OTHER_ PROOF_ NOT_RUN_ EMPTY_, "", NULL, 0},
	{"endless-status", "HTTP/1.1 200 ", false, NULL, "", "x", 0},
	{"endless-name", OK_, false, NULL, "", "x", 0},
	{"endless-value", OK_, false, NULL, "X-A: ", "x", 0},
	{"endless-headers", OK_, false, NULL, "", "X-A: b\r\n", 0},
	{"endless-interim", "", false, NULL, "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
	{"endless-extension", OK_, true, STREAM_ CHUNKED_ "\r\n", "1;", "x", 0},
	{"endless-trailers", OK_, true, STREAM_ CHUNKED_ "\r\n", "0\r\n", "X-A: b\r\n", 0},
	{"endless-not-run", "HTTP/1.1 503 Busy\r\n", true, "X-Not-Executed: 1\r\n" CLOSE_ "\r\n", "", "busy\n",
	 0},
	{"endless-500", "HTTP/1.1 500 Broken\r\n", true, CLOSE_ "\r\n", "", "failed\n", 0},
	{"endless-unsigned", OK_, false, CLOSE_ "\r\n", "", "x", 0},
	{"endless-after", OK_, true, "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n", "whole\n",
	 "surplus\n", 0},
	{"endless-event", OK_, true, STREAM_ CLOSE_ "\r\n", "data: ", "x", 0},
	{"endless-lines", OK_, true, STREAM_ CLOSE_ "\r\n", "", "data: x\n", 0},
	{"endless-comments", OK_, true, STREAM_ CLOSE_ "\r\n", "", ": x\n\n", 0},
	{"endless-body", OK_, true, "Content-Type: text/plain\r\n" CLOSE_ "\r\n", "", "plain text\n", 0},
	{"cut-nothing", "", false, NULL, "", NULL, 0},
	{"cut-version", "HTTP/1.", false, NULL, "", NULL, 0},
	{"cut-status", "HTTP/1.1 20", false, NULL, "", NULL, 0},
	{"cut-code", "HTTP/1.1 200", false, NULL, "", NULL, 0},
	{"cut-reason", "HTTP/1.1 200 O", false, NULL, "", NULL, 0},
	{"cut-line", OK_, false, NULL, "", NULL, 0},
	{"cut-half-line", "HTTP/1.1 200 OK\r", false, NULL, "", NULL, 0},
	{"cut-name", OK_, true, NULL, "Content-Ty", NULL, 0},
	{"cut-colon", OK_, true, NULL, "Content-Type:", NULL, 0},
	{"cut-value", OK_, true, NULL, "Content-Type: text/event-str", NULL, 0},
	{"cut-half-value", OK_, true, NULL, "Content-Type: text/event-stream\r", NULL, 0},
	{"cut-plain", OK_, true, NULL, "Content-Type: text/plain\r\n", NULL, 0},
	{"cut-last", OK_, true, NULL, STREAM_, NULL, 0},
	{"cut-half-last", OK_, true, NULL, STREAM_ "\r", NULL, 0},
	{"cut-close", OK_, true, NULL, STREAM_ CLOSE_, NULL, 0},
	{"cut-length", OK_, true, NULL, "Content-Type: text/plain\r\nContent-Length: 6\r\n", NULL, 0},
	{"cut-in-length", OK_, true, NULL, "Content-Type: text/plain\r\nContent-Length: 6", NULL, 0},
	{"cut-no-length", OK_, true, NULL, "Content-Type: text/plain\r\nContent-Length: 0\r\n", NULL, 0},
	{"cut-chunked", OK_, true, NULL, STREAM_ CHUNKED_, NULL, 0},
	{"cut-204", "HTTP/1.1 204 Nothing\r\n", true, NULL, "", NULL, 0},
	{"cut-304", "HTTP/1.1 304 Same\r\n", true, NULL, "", NULL, 0},
	{"cut-500", "HTTP/1.1 500 Broken\r\n", true, NULL, "Content-Length: 0\r\n", NULL, 0},
	{"cut-not-run", "HTTP/1.1 503 Busy\r\n", true, NULL, "X-Not-Executed: 1\r\n", NULL, 0},
	{"cut-interim", HINTS_, false, NULL, "Link: x", NULL, 0},
	{"cut-interim-last", HINTS_, false, NULL, "Link: x\r\n", NULL, 0},
	{"cut-after-interim", HINTS_, false, "\r\n", "", NULL, 0},
	{"cut-after-100", "HTTP/1.1 100 Continue\r\n", false, "\r\n", "", NULL, 0},
	{"cut-after-101", "HTTP/1.1 101 Other\r\n", false, "Connection: upgrade\r\nUpgrade: x\r\n\r\n", "", NULL,
	 0},
	{"cut-after-length", HINTS_, false, "Content-Length: 6\r\n\r\n", "", NULL, 0},
	{"cut-second-line", HINTS_ "\r\n" OK_, false, NULL, "", NULL, 0},
	{"cut-second-head", HINTS_ "\r\n" OK_, true, NULL, STREAM_ CHUNKED_, NULL, 0},
	{"head-status-000", "HTTP/1.1 000 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-001", "HTTP/1.1 001 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-099", "HTTP/1.1 099 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-20", "HTTP/1.1 20 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-600", "HTTP/1.1 600 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-999", "HTTP/1.1 999 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-1000", "HTTP/1.1 1000 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-status-0200", "HTTP/1.1 0200 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-version", "HTTP/2.0 200 OK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-reason", "HTTP/1.1 200 O\001K\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-reason-cr", "HTTP/1.1 200 O\rK\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-blank-first", OK_ " X-Bad: v\r\n", true, WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-name-blank", OK_, true, WHOLE_ "X Bad: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-blank-end", OK_, true, WHOLE_ "X-Bad : v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-tab", OK_, true, WHOLE_ "X\tBad: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-control", OK_, true, WHOLE_ "X\001Bad: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-del", OK_, true, WHOLE_ "X\177Bad: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-cr", OK_, true, WHOLE_ "X\rBad: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-high", OK_, true, WHOLE_ "X\351: v\r\n\r\n", "whole\n", NULL, 0},
	{"head-name-paren", OK_, true, WHOLE_ "X(Bad): v\r\n\r\n", "whole\n", NULL, 0},
	{"head-no-name", OK_, true, WHOLE_ ": v\r\n\r\n", "whole\n", NULL, 0},
	{"head-no-colon", OK_, true, WHOLE_ "X-Bad\r\n\r\n", "whole\n", NULL, 0},
	{"head-value-control", OK_, true, WHOLE_ "X-Bad: a\001b\r\n\r\n", "whole\n", NULL, 0},
	{"head-value-cr", OK_, true, WHOLE_ "X-Bad: a\rb\r\n\r\n", "whole\n", NULL, 0},
	{"head-folded", OK_, true, WHOLE_ "X-A: b\r\n folded\r\n\r\n", "whole\n", NULL, 0},
	{"head-length-blank", OK_, true, "Content-Type: text/plain\r\n" CLOSE_ "Content-Length : 6\r\n\r\n",
	 "whole\n", NULL, 0},
	{"head-chunked-blank", OK_, true, WHOLE_ "Transfer-Encoding : chunked\r\n\r\n", "whole\n", NULL, 0},
	{"head-chunked-name", OK_, true, WHOLE_ "Transfer Encoding: chunked\r\n\r\n", "whole\n", NULL, 0},
	{"head-proof-blank", OK_ OTHER_, false, "X-Replica-Signature : stand-in\r\n" WHOLE_ "\r\n", "whole\n",
	 NULL, 0},
	{"head-stream-folded", OK_, true, STREAM_ "X-A: b\r\n folded\r\n" CLOSE_ "\r\n",
	 "id: %u\ndata: piece %u\n\n", NULL, 0},
	{"head-interim", HINTS_, false, "X Bad: v\r\n\r\n" OK_ OTHER_ WHOLE_ "\r\n", "whole\n", NULL, 0},
	{"head-trailer-blank", OK_, true, "Content-Type: text/plain\r\n" CHUNKED_ "\r\n",
	 "6\r\nwhole\n\r\n0\r\nX Bad: v\r\n\r\n", NULL, 0},
	{"head-trailer-folded", OK_, true, "Content-Type: text/plain\r\n" CHUNKED_ "\r\n",
	 "6\r\nwhole\n\r\n0\r\nX-A: b\r\n folded\r\n\r\n", NULL, 0},
	{"trailer", OK_, true, "Content-Type: text/plain\r\n" CHUNKED_ "\r\n",
	 "6\r\nwhole\n\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n", NULL, 0},
	{"sound", "HTTP/1.1 200\r\n", true, WHOLE_ "X-Odd!#$%&'*+-.^_`|~: \t\"(x): \351 \t\r\nX-Empty:\r\n\r\n",
	 "whole\n", NULL, 0},
	{NULL, NULL, false, NULL, NULL, NULL, 0},
};

/* An answer under way. */
typedef struct {
	struct evhttp_connection *conn;
	struct event *timer;
	const char *repeated;
	size_t len; /* of `repeated` */
	bool is_slow;
	bool is_silent; /* sends one of `repeated`, and nothing after that */
	bool is_reset;  /* ends with a reset */
	size_t next;    /* byte of a slow one that is due */
	size_t left;    /* bytes after which the connection is closed; 0: no end */
} Answer;

static unsigned Open_; /* answers under way */

static const Kind *find_(const char *kind);
static void add_text_(struct evbuffer *out, const char *text, unsigned id);
static void on_time_(evutil_socket_t fd, short what, void *arg);
static void reset_(struct evhttp_connection *conn);
static void on_closed_(struct evhttp_connection *conn, void *arg);

/* Gives the answer of a kind, to a request whose caller has all events up to `after`. A kind that begins with
 * "slow-" is the same, byte by byte in what has no end, one that begins with "stop-" falls silent there, and
 * one that begins with "reset-" ends with a reset of the connection. Returns false if there is none of this
 * name. */
bool fake_answers_start(struct event_base *base, struct evhttp_request *req, const char *kind, unsigned after)
{
	bool is_slow = g_str_has_prefix(kind, "slow-");
	bool is_silent = g_str_has_prefix(kind, "stop-");
	bool is_reset = g_str_has_prefix(kind, "reset-");
	const Kind *k = find_(is_slow || is_silent || is_reset ? strchr(kind, '-') + 1 : kind);
	const char *id = web_get_header(req, "X-Attempt-Id");
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct evbuffer *out = bufferevent_get_output(bev);
	struct timeval tv = {0, FILL_MS * 1000};
	Answer *a;

	if (!k)
		return false;
	evbuffer_add_printf(out, "%s", k->status);
	if (k->is_signed)
		evbuffer_add_printf(out, "X-Attempt-Id: %s\r\nX-Replica-Signature: stand-in\r\n", id ? id : "");
	if (k->head)
		add_text_(out, k->head, after + 1);
	add_text_(out, k->body, after + 1);
	bufferevent_enable(bev, EV_READ | EV_WRITE); /* evhttp does so with answers of its own */
	a = g_new0(Answer, 1);
	a->conn = conn;
	a->repeated = k->repeated;
	a->len = k->repeated ? strlen(k->repeated) : 0;
	a->is_slow = is_slow;
	a->left = k->repeated_max;
	a->is_silent = is_silent;
	a->is_reset = is_reset;
	Open_++;
	a->timer = evtimer_new(base, on_time_, a);
	evhttp_connection_set_closecb(conn, on_closed_, a);
	evtimer_add(a->timer, &tv);
	return true;
}

static const Kind *find_(const char *kind)
{
	for (const Kind *k = Kinds_; k->kind; k++)
		if (!strcmp(k->kind, kind))
			return k;
	return NULL;
}

static void add_text_(struct evbuffer *out, const char *text, unsigned id)
{
	char **parts = g_strsplit(text, "%u", -1);
	char number[16];
	char *whole;

	g_snprintf(number, sizeof number, "%u", id);
	whole = g_strjoinv(number, parts);
	evbuffer_add(out, whole, strlen(whole));
	g_free(whole);
	g_strfreev(parts);
}

/* Writes on, or ends an answer that has been taken. */
static void on_time_(evutil_socket_t fd, short what, void *arg)
{
	Answer *a = arg;
	struct evbuffer *out = bufferevent_get_output(evhttp_connection_get_bufferevent(a->conn));
	struct timeval tv = {0, FILL_MS * 1000};

	(void)fd;
	(void)what;
	if (!a->repeated && !evbuffer_get_length(out)) {
		if (a->is_reset)
			reset_(a->conn);
		evhttp_connection_free(a->conn); /* which calls on_closed_() */
		return;
	}
	if (a->repeated && a->is_slow) {
		evbuffer_add(out, a->repeated + a->next, 1);
		a->next = (a->next + 1) % a->len;
		tv = (struct timeval){DRIP_MS / 1000, DRIP_MS % 1000 * 1000};
	}
	if (a->repeated && a->is_silent) {
		evbuffer_add(out, a->repeated, a->len);
		return;
	}
	while (a->repeated && !a->is_slow && evbuffer_get_length(out) < FILL_BYTES) {
		evbuffer_add(out, a->repeated, a->len);
		if (!a->left)
			continue;
		a->left -= MIN(a->left, a->len);
		if (!a->left)
			a->repeated = NULL;
	}
	evtimer_add(a->timer, &tv);
}

/* Has the connection end with a reset when it is closed. */
static void reset_(struct evhttp_connection *conn)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};
	evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

static void on_closed_(struct evhttp_connection *conn, void *arg)
{
	Answer *a = arg;

	evhttp_connection_set_closecb(conn, NULL, NULL);
	event_free(a->timer);
	g_free(a);
	Open_--;
}

/* Returns the number of answers whose connections are open. */
unsigned fake_answers_get_open(void)
{
	return Open_;
}
