/* SPDX-License-Identifier: BSD-3-Clause */
/* Small helpers of the review's stand-ins: sockets, time and HTTP heads. */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 16384

/* Returns the time of day in milliseconds. All stand-ins of a case run on one machine. */
static inline uint64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static inline void sleep_ms(uint64_t ms)
{
	struct timespec t = {(time_t)(ms / 1000), (long)(ms % 1000 * 1000000)};

	while (nanosleep(&t, &t) == -1 && errno == EINTR)
		;
}

/* Reads "IP:PORT". Exits with 2 if it is none. */
static inline struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	char ip[64];
	const char *colon = strrchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof ip) {
		fprintf(stderr, "no address: %s\n", text);
		exit(2);
	}
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &a.sin_addr) != 1) {
		fprintf(stderr, "no address: %s\n", text);
		exit(2);
	}
	return a;
}

/* Writes all bytes. Returns false if the connection has broken. */
static inline bool send_all(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len > 0) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);
		if (n <= 0) {
			if (n < 0 && errno == EINTR)
				continue;
			return false;
		}
		p += n;
		len -= (size_t)n;
	}
	return true;
}

/* Copies the value of a header in `head` to `out`, an empty text if there is none. Returns true if there is
 * one. */
static inline bool get_header(const char *head, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (const char *line = strstr(head, "\r\n"); line; line = strstr(line, "\r\n")) {
		const char *end;
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		while (*line == ' ' || *line == '\t')
			line++;
		end = strstr(line, "\r\n");
		snprintf(out, size, "%.*s", (int)(end ? (size_t)(end - line) : strlen(line)), line);
		return true;
	}
	return false;
}

/* Reads up to the end of a head, and further bytes behind it. Returns the length of the head, 0 if there is
 * none. `*len` is what has been read. */
static inline size_t read_head(int fd, char *buffer, size_t size, size_t *len)
{
	for (;;) {
		char *end;
		ssize_t n;
		buffer[*len] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (end)
			return (size_t)(end + 4 - buffer);
		if (*len + 1 >= size)
			return 0;
		n = recv(fd, buffer + *len, size - 1 - *len, 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return 0;
		*len += (size_t)n;
	}
}

#endif
