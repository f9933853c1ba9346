/* SPDX-License-Identifier: BSD-3-Clause */
/* A stand-in for a client: sends requests one after the other, reads the answers, and prints a line for each.
 *
 * usage: review-client IP:PORT METHOD PATH [OPTION VALUE]...
 *   --header TEXT   "Name: value", as often as wanted
 *   --body TEXT
 *   --attempt ID    the request's id; with --repeat ID.1, ID.2 and so on
 *   --repeat N      so many requests, each on a channel of its own (1)
 *   --first PATH    before the request, sends one for this path, with the id ID.first, on the same channel and
 *                   reads its whole answer: the channel is a kept one then
 *   --stall MS      time for which the client reads nothing after it has sent the request
 *   --mss N         largest segment that it takes (as the system has it), such as 1448 on Ethernet
 *   --limit MS      time limit, from the first byte sent (10000)
 *
 * A line tells the status, the bytes of the body, whether the answer was complete, and how the channel ended.
 * complete=yes: all that the head announced came, or the last chunk, or, with neither, the channel's orderly end.
 * pieces=N: the body begins with the pieces 1 to N of review-replica's stream for this attempt.
 * foreign=N: bytes of the body behind these that are no beginning of the next piece.
 */
#include "common.h"

#define HEADERS_MAX 32
#define READ_MAX 65536
#define TICK_MS 20

typedef struct {
	char head[HEAD_MAX];
	size_t head_len; /* 0: the head is not whole */
	size_t head_used;
	long length; /* of the body; -1: not told */
	bool chunked;
	bool complete;
	size_t body;
	size_t chunk_left;
	int chunk_state; /* 0: size line, 1: data, 2: line end behind data, 3: trailers */
	char line[64];
	size_t line_len;
	char *text; /* the body */
	size_t text_size;
} Answer;

static void take_body(Answer *a, const char *data, size_t len)
{
	if (a->body + len + 1 > a->text_size) {
		a->text_size = (a->body + len + 1) * 2;
		a->text = realloc(a->text, a->text_size);
		if (!a->text)
			abort();
	}
	memcpy(a->text + a->body, data, len);
	a->body += len;
	a->text[a->body] = '\0';
}

static void take_chunks(Answer *a, const char *data, size_t len)
{
	for (size_t i = 0; i < len && !a->complete;) {
		if (a->chunk_state == 1) {
			size_t n = len - i < a->chunk_left ? len - i : a->chunk_left;
			take_body(a, data + i, n);
			a->chunk_left -= n;
			i += n;
			if (!a->chunk_left)
				a->chunk_state = 2;
			continue;
		}
		if (data[i] != '\n') {
			if (data[i] != '\r' && a->line_len + 1 < sizeof a->line)
				a->line[a->line_len++] = data[i];
			i++;
			continue;
		}
		i++;
		a->line[a->line_len] = '\0';
		if (a->chunk_state == 0) {
			a->chunk_left = strtoul(a->line, NULL, 16);
			a->chunk_state = a->chunk_left ? 1 : 3;
		}
		else if (a->chunk_state == 2) {
			a->chunk_state = 0;
		}
		else if (!a->line_len) {
			a->complete = true;
		}
		a->line_len = 0;
	}
}

static void take(Answer *a, const char *data, size_t len)
{
	char value[64];
	char *end;
	size_t room;

	if (!a->head_len) {
		size_t before = a->head_used;
		room = sizeof a->head - 1 - a->head_used;
		memcpy(a->head + a->head_used, data, len < room ? len : room);
		a->head_used += len < room ? len : room;
		a->head[a->head_used] = '\0';
		end = strstr(a->head, "\r\n\r\n");
		if (!end)
			return;
		a->head_len = (size_t)(end + 4 - a->head);
		data += a->head_len - before;
		len -= a->head_len - before;
		a->head[a->head_len] = '\0';
		a->length = get_header(a->head, "Content-Length", value, sizeof value) ? atol(value) : -1;
		a->chunked = get_header(a->head, "Transfer-Encoding", value, sizeof value) && strstr(value, "chunked");
		a->complete = a->length == 0;
	}
	if (a->chunked)
		take_chunks(a, data, len);
	else
		take_body(a, data, len);
	if (a->length >= 0 && (long)a->body >= a->length)
		a->complete = true;
}

typedef struct {
	struct sockaddr_in to;
	const char *method;
	const char *headers[HEADERS_MAX];
	unsigned header_count;
	const char *body;
	uint64_t stall_ms;
	int mss; /* 0: as the system has it */
	uint64_t limit_ms;
} Options;

/* Counts the pieces of an attempt's stream with which a body begins. Stores the number of bytes behind them
 * that are no beginning of the next one. */
static unsigned count_pieces(const Answer *a, const char *attempt, size_t *foreign)
{
	unsigned count = 0;
	size_t at = 0;

	*foreign = 0;
	for (;;) {
		char piece[512];
		size_t len = (size_t)snprintf(piece, sizeof piece, "id: %u\ndata: piece %u of %s\n\n", count + 1,
									  count + 1, attempt);
		size_t left = a->body - at;
		if (left < len) {
			*foreign = left && memcmp(a->text + at, piece, left) != 0 ? left : 0;
			return count;
		}
		if (memcmp(a->text + at, piece, len) != 0) {
			*foreign = left;
			return count;
		}
		at += len;
		count++;
	}
}

/* Sends a request and reads its answer. Returns how the channel ended; "whole": it has not. */
static const char *exchange(int fd, const Options *o, const char *path, const char *attempt, Answer *a)
{
	char text[HEAD_MAX];
	char buffer[READ_MAX];
	uint64_t begun_ms = now_ms();
	int len = snprintf(text, sizeof text, "%s %s HTTP/1.1\r\n", o->method, path);

	for (unsigned i = 0; i < o->header_count; i++)
		len += snprintf(text + len, sizeof text - (size_t)len, "%s\r\n", o->headers[i]);
	if (*attempt)
		len += snprintf(text + len, sizeof text - (size_t)len, "X-Attempt-Id: %s\r\n", attempt);
	if (*o->body || !strcmp(o->method, "POST"))
		len += snprintf(text + len, sizeof text - (size_t)len, "Content-Length: %zu\r\n", strlen(o->body));
	len += snprintf(text + len, sizeof text - (size_t)len, "\r\n%s", o->body);
	if (!send_all(fd, text, (size_t)len))
		return "reset";
	sleep_ms(o->stall_ms);
	while (!a->complete) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		ssize_t n;
		if (now_ms() >= begun_ms + o->limit_ms)
			return "time-limit";
		if (poll(&p, 1, TICK_MS) <= 0)
			continue;
		n = recv(fd, buffer, sizeof buffer, 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return "reset";
		if (!n) {
			a->complete = a->head_len && !a->chunked && a->length < 0;
			return "closed";
		}
		take(a, buffer, (size_t)n);
	}
	return "whole";
}

/* Sends one request, and another one before it if `first` is not NULL, and prints what came of it. */
static void request(const Options *o, const char *first, const char *path, const char *attempt)
{
	static Answer a;
	static Answer before;
	char first_attempt[128];
	char signature[256];
	char retry_after[64];
	const char *end = "not-connected";
	uint64_t begun_ms = now_ms();
	size_t foreign = 0;
	unsigned pieces;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	free(a.text);
	free(before.text);
	memset(&a, 0, sizeof a);
	memset(&before, 0, sizeof before);
	snprintf(first_attempt, sizeof first_attempt, "%s.first", attempt);
	if (o->mss)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &o->mss, sizeof o->mss);
	if (connect(fd, (const struct sockaddr *)&o->to, sizeof o->to) == 0) {
		end = first ? exchange(fd, o, first, first_attempt, &before) : "whole";
		begun_ms = now_ms();
		if (!strcmp(end, "whole"))
			end = exchange(fd, o, path, attempt, &a);
	}
	close(fd);
	if (a.head_len) {
		a.head[a.head_len - 2] = '\0';
		sscanf(a.head, "%*s %d", &status);
	}
	get_header(a.head, "X-Replica-Signature", signature, sizeof signature);
	get_header(a.head, "Retry-After", retry_after, sizeof retry_after);
	pieces = a.text ? count_pieces(&a, attempt, &foreign) : 0;
	printf("attempt=%s status=%d bytes=%zu complete=%s end=%s pieces=%u foreign=%zu sent_ms=%llu took_ms=%llu "
		   "signed=%s retry_after=%s\n",
		   attempt, status, a.body, a.complete ? "yes" : "no", end, pieces, foreign, (unsigned long long)begun_ms,
		   (unsigned long long)(now_ms() - begun_ms), signature[0] ? "yes" : "no", retry_after);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	Options o = {.body = "", .limit_ms = 10000};
	const char *attempt = "";
	const char *first = NULL;
	long repeat = 0;

	if (argc < 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	o.to = parse_address(argv[1]);
	o.method = argv[2];
	for (int i = 4; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--header") && o.header_count < HEADERS_MAX)
			o.headers[o.header_count++] = argv[i + 1];
		else if (!strcmp(argv[i], "--body"))
			o.body = argv[i + 1];
		else if (!strcmp(argv[i], "--attempt"))
			attempt = argv[i + 1];
		else if (!strcmp(argv[i], "--repeat"))
			repeat = atol(argv[i + 1]);
		else if (!strcmp(argv[i], "--first"))
			first = argv[i + 1];
		else if (!strcmp(argv[i], "--stall"))
			o.stall_ms = strtoull(argv[i + 1], NULL, 10);
		else if (!strcmp(argv[i], "--mss"))
			o.mss = atoi(argv[i + 1]);
		else if (!strcmp(argv[i], "--limit"))
			o.limit_ms = strtoull(argv[i + 1], NULL, 10);
		else
			return 2;
	}
	if (!repeat)
		request(&o, first, argv[3], attempt);
	for (long i = 1; i <= repeat; i++) {
		char id[128];
		snprintf(id, sizeof id, "%s.%ld", attempt, i);
		request(&o, first, argv[3], id);
	}
	return 0;
}
