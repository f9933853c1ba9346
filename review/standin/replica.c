/* SPDX-License-Identifier: BSD-3-Clause */
/* A stand-in for replicas, as the users' PROTOCOL.md describes them: they keep their entries in the store,
 * run requests that expect them, and sign their answers. One process holds one or several of them.
 *
 * usage: review-replica [--fail-share PERCENT] STORE RECORD ID=IP:PORT,SERVICE,ZONE...
 *
 * --fail-share: so many requests in 100 get 500 with a short body, while all else is well (a fault).
 *
 * SIGUSR1: all of this process say that they are draining. SIGTERM: the process ends at once, as a replica
 * does some time after that.
 *
 * Words of a request's path, "NAME=NUMBER" between slashes, tell what is answered:
 *   bytes=N     a plain answer of N bytes, with a length
 *   work=MS     time until the answer begins
 *   events=N    a stream of N events, gap=MS apart, with ids from 1, or after Last-Event-Id
 *   nolength=1  the stream has neither a length nor chunks, and ends with its channel
 */
#include "common.h"

#include <pthread.h>

#define HEARTBEAT_MS 400
#define REPLICAS_MAX 16
#define SLOTS 16

typedef struct {
	char id[64];
	char address[64];
	char service[64];
	char zone[64];
	int fd;
} Replica;

typedef struct {
	Replica *replica;
	int fd;
} Connection;

static Replica Replicas_[REPLICAS_MAX];
static unsigned Count_;
static struct sockaddr_in Store_;
static const char *StoreText_;
static FILE *Record_;
static pthread_mutex_t Lock_ = PTHREAD_MUTEX_INITIALIZER;
static volatile sig_atomic_t Draining_;
static int Running_;
static uint64_t BornMs_;
static long FailShare_; /* in 100 */
static long Requests_;

static void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

static void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&Lock_);
	fprintf(Record_, "%llu replica ", (unsigned long long)now_ms());
	va_start(args, format);
	vfprintf(Record_, format, args);
	va_end(args);
	fputc('\n', Record_);
	fflush(Record_);
	pthread_mutex_unlock(&Lock_);
}

static void on_drain(int number)
{
	(void)number;
	Draining_ = 1;
}

static void on_end(int number)
{
	(void)number;
	_exit(0);
}

/* Returns the number behind "NAME=" in a path, `otherwise` if there is none. */
static long get_word(const char *path, const char *name, long otherwise)
{
	char word[64];
	const char *at;

	snprintf(word, sizeof word, "/%s=", name);
	at = strstr(path, word);
	return at ? atol(at + strlen(word)) : otherwise;
}

static void base64(const char *in, char *out)
{
	static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(in);

	for (size_t i = 0; i < len; i += 3) {
		unsigned long v = (unsigned long)(unsigned char)in[i] << 16;
		if (i + 1 < len)
			v |= (unsigned long)(unsigned char)in[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned long)(unsigned char)in[i + 2];
		*out++ = Digits[v >> 18 & 63];
		*out++ = Digits[v >> 12 & 63];
		*out++ = i + 1 < len ? Digits[v >> 6 & 63] : '=';
		*out++ = i + 2 < len ? Digits[v & 63] : '=';
	}
	*out = '\0';
}

/* Writes a replica's entry to the store. Returns true if the store has taken it. */
static bool write_entry(const Replica *r, unsigned sequence)
{
	char entry[512];
	char value[1024];
	char body[2048];
	char text[4096];
	size_t len = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool taken = false;
	struct timeval timeout = {1, 0};

	snprintf(entry, sizeof entry,
			 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
			 "\"state\":\"%s\",\"cold-remaining-ms\":0,\"sequence\":%u,\"born\":%llu}",
			 r->service, r->address, r->zone, SLOTS, Draining_ ? "draining" : "ready", sequence,
			 (unsigned long long)BornMs_);
	base64(entry, value);
	snprintf(body, sizeof body,
			 "{\"expected-rev\":[],\"put\":[{\"private-key\":\"servers/%s\",\"value\":\"%s\",\"lease\":0}],"
			 "\"remove\":[]}",
			 r->id, value);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
	if (connect(fd, (struct sockaddr *)&Store_, sizeof Store_) == 0) {
		snprintf(text, sizeof text,
				 "POST /kv-txn HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
				 "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
				 StoreText_, strlen(body), body);
		if (send_all(fd, text, strlen(text)) && read_head(fd, text, sizeof text, &len))
			taken = !strncmp(text, "HTTP/1.1 200", 12);
	}
	close(fd);
	return taken;
}

static void *beat(void *arg)
{
	bool told = false;

	(void)arg;
	for (unsigned sequence = 1;; sequence++) {
		bool draining = Draining_;
		bool taken = true;
		for (unsigned i = 0; i < Count_; i++)
			taken &= write_entry(&Replicas_[i], sequence);
		if (draining && taken && !told) {
			told = true;
			record("draining-taken replica=%s", Replicas_[0].id);
		}
		for (int i = 0; i < HEARTBEAT_MS / 50 && Draining_ == draining; i++)
			sleep_ms(50);
	}
	return NULL;
}

/* Returns true for FailShare_ of 100 requests, spread evenly. */
static bool fails(void)
{
	long n = __atomic_add_fetch(&Requests_, 1, __ATOMIC_SEQ_CST);

	return n * FailShare_ / 100 != (n - 1) * FailShare_ / 100;
}

/* Returns true if the client of a channel has closed it: most replicas drop a request then. */
static bool has_left(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN | POLLRDHUP};
	char byte;

	if (poll(&p, 1, 0) <= 0)
		return false;
	return p.revents & (POLLERR | POLLHUP | POLLRDHUP) || recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static int write_common(char *out, size_t size, const Replica *r, const char *attempt)
{
	return snprintf(out, size,
					"X-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nX-Replica-Signature: signed-%s-%s\r\n"
					"X-Replica-Load: %d,0,%d\r\n",
					attempt, r->id, r->id, attempt, Running_, SLOTS);
}

/* Answers with a body of one kind of letter. Returns false if the channel is to be closed. */
static bool answer_plain(Connection *c, const char *attempt, long bytes)
{
	char head[1024];
	char common[512];
	char block[4096];
	long left = bytes;

	write_common(common, sizeof common, c->replica, attempt);
	snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %ld\r\n\r\n",
			 common, bytes);
	memset(block, 'b', sizeof block);
	if (!send_all(c->fd, head, strlen(head)))
		return false;
	while (left > 0) {
		size_t n = left < (long)sizeof block ? (size_t)left : sizeof block;
		if (!send_all(c->fd, block, n))
			return false;
		left -= (long)n;
	}
	record("answered attempt=%s replica=%s status=200 bytes=%ld", attempt, c->replica->id, bytes);
	return true;
}

static bool answer_failure(Connection *c, const char *attempt, const char *body)
{
	char head[1024];
	char common[512];

	write_common(common, sizeof common, c->replica, attempt);
	snprintf(head, sizeof head,
			 "HTTP/1.1 500 Internal Server Error\r\n%sContent-Type: text/plain\r\nContent-Length: %zu\r\n\r\n%s",
			 common, strlen(body), body);
	record("answered attempt=%s replica=%s status=500 bytes=%zu", attempt, c->replica->id, strlen(body));
	return send_all(c->fd, head, strlen(head));
}

/* Answers with a stream. Returns false if the channel is to be closed. */
static bool answer_stream(Connection *c, const char *path, const char *attempt, long after)
{
	long last = get_word(path, "events", 10);
	long gap_ms = get_word(path, "gap", 30);
	bool no_length = get_word(path, "nolength", 0);
	char head[1024];
	char common[512];
	char event[256];
	char chunk[320];

	write_common(common, sizeof common, c->replica, attempt);
	snprintf(head, sizeof head, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", common,
			 no_length ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n");
	if (!send_all(c->fd, head, strlen(head)))
		return false;
	for (long i = after + 1; i <= last; i++) {
		if (has_left(c->fd)) {
			record("dropped attempt=%s replica=%s at=%ld", attempt, c->replica->id, i);
			return false;
		}
		snprintf(event, sizeof event, "id: %ld\ndata: piece %ld of %s\n\n", i, i, attempt);
		if (no_length)
			snprintf(chunk, sizeof chunk, "%s", event);
		else
			snprintf(chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen(event), event);
		if (!send_all(c->fd, chunk, strlen(chunk)))
			return false;
		sleep_ms((uint64_t)gap_ms);
	}
	if (!no_length && !send_all(c->fd, "0\r\n\r\n", 5))
		return false;
	record("answered attempt=%s replica=%s status=200 all-pieces=%ld", attempt, c->replica->id, last);
	return !no_length;
}

static bool refuse(Connection *c, int status, const char *reason)
{
	char text[512];

	snprintf(text, sizeof text,
			 "HTTP/1.1 %d %s\r\nX-Not-Executed: 1\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", status, reason,
			 c->replica->id);
	return send_all(c->fd, text, strlen(text));
}

/* Serves one request of a channel. Returns false if the channel is to be closed. */
static bool serve(Connection *c)
{
	char head[HEAD_MAX];
	char method[16];
	char path[1024];
	char attempt[96];
	char value[256];
	size_t len = 0;
	size_t head_len = read_head(c->fd, head, sizeof head, &len);
	size_t body;
	long after;
	bool again;

	if (!head_len || sscanf(head, "%15s %1023s", method, path) != 2)
		return false;
	head[head_len - 1] = '\0';
	body = get_header(head, "Content-Length", value, sizeof value) ? strtoul(value, NULL, 10) : 0;
	for (len -= head_len; len < body;) {
		char rest[4096];
		ssize_t n = recv(c->fd, rest, sizeof rest, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
	}
	if (!strcmp(path, "/order") || !strcmp(path, "/report")) {
		static const char Answer[] =
			"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 23\r\n\r\n{\"free\":1,\"pace\":1.000}";
		return send_all(c->fd, Answer, sizeof Answer - 1);
	}
	if (!get_header(head, "X-Attempt-Id", attempt, sizeof attempt))
		return refuse(c, 400, "Bad Request");
	get_header(head, "X-Expect-Replica", value, sizeof value);
	if (value[0] && strcmp(value, c->replica->id) != 0)
		return refuse(c, 421, "Misdirected Request");
	get_header(head, "Last-Event-Id", value, sizeof value);
	after = atol(value);
	record("run attempt=%s replica=%s method=%s path=%s after=%ld", attempt, c->replica->id, method, path, after);
	__atomic_add_fetch(&Running_, 1, __ATOMIC_SEQ_CST);
	sleep_ms((uint64_t)get_word(path, "work", 0));
	if (fails())
		again = answer_failure(c, attempt, "{\"error\":\"out of memory\"}\n");
	else if (get_word(path, "bytes", -1) >= 0)
		again = answer_plain(c, attempt, get_word(path, "bytes", 0));
	else
		again = answer_stream(c, path, attempt, after);
	__atomic_sub_fetch(&Running_, 1, __ATOMIC_SEQ_CST);
	return again;
}

static void *serve_channel(void *arg)
{
	Connection c = *(Connection *)arg;
	int one = 1;

	free(arg);
	setsockopt(c.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	while (serve(&c))
		;
	close(c.fd);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, arg) != 0)
		abort();
	pthread_attr_destroy(&attributes);
}

static void *listen_on(void *arg)
{
	Replica *r = arg;

	for (;;) {
		Connection *c;
		int fd = accept4(r->fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		c = malloc(sizeof *c);
		*c = (Connection){r, fd};
		start_thread(serve_channel, c);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	while (argc > 2 && !strncmp(argv[1], "--", 2)) {
		if (!strcmp(argv[1], "--fail-share"))
			FailShare_ = atol(argv[2]);
		argc -= 2;
		argv += 2;
	}
	if (argc < 4) {
		fputs("usage: review-replica [--fail-share PERCENT] STORE RECORD "
			  "ID=IP:PORT,SERVICE,ZONE...\n",
			  stderr);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_drain);
	signal(SIGTERM, on_end);
	StoreText_ = argv[1];
	Store_ = parse_address(argv[1]);
	Record_ = fopen(argv[2], "a");
	if (!Record_)
		return 2;
	BornMs_ = now_ms();
	for (int i = 3; i < argc && Count_ < REPLICAS_MAX; i++) {
		Replica *r = &Replicas_[Count_++];
		struct sockaddr_in a;
		int one = 1;
		if (sscanf(argv[i], "%63[^=]=%63[^,],%63[^,],%63s", r->id, r->address, r->service, r->zone) != 4)
			return 2;
		a = parse_address(r->address);
		r->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(r->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
		if (bind(r->fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(r->fd, 256) != 0) {
			perror(r->address);
			return 2;
		}
		start_thread(listen_on, r);
	}
	beat(NULL);
	return 0;
}
