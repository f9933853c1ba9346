/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading of server-sent events, as far as their ids go (HTML Living Standard, "Server-sent events"). */
#include "bayhoist/event_stream.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define ID_FIELD_ "id:"

static size_t find_end_(const char *data, size_t len);
static bool find_id_(const char *event, size_t len, char out[BH__EVENT_ID_LEN]);
static bool is_number_(const char *text);
static bool was_seen_(const BH__EventStream *s, const char *id);

/* Looks at the event that `data` begins with; `*event_len` is its length with the blank line that ends it. An
 * event that is to be passed on is noted as the last one. */
BH__EventState bh__event_stream_take(BH__EventStream *s, const char *data, size_t len, size_t *event_len)
{
	char id[BH__EVENT_ID_LEN];

	*event_len = find_end_(data, len);
	if (!*event_len)
		return BH__EVENT_INCOMPLETE;
	if (find_id_(data, *event_len, id)) {
		if (was_seen_(s, id))
			return BH__EVENT_SEEN;
		memcpy(s->last_id, id, sizeof id);
	}
	s->events++;
	return BH__EVENT_NEXT;
}

/* Returns the length of the first event with the blank line after it, or 0. Lines end in LF or CR LF. */
static size_t find_end_(const char *data, size_t len)
{
	const char *line = data;
	const char *end = data + len;

	while (line < end) {
		const char *lf = memchr(line, '\n', (size_t)(end - line));
		if (!lf)
			return 0;
		if (lf == line || (lf == line + 1 && *line == '\r'))
			return (size_t)(lf + 1 - data);
		line = lf + 1;
	}
	return 0;
}

/* Finds the event's id, without blanks around it. */
static bool find_id_(const char *event, size_t len, char out[BH__EVENT_ID_LEN])
{
	const char *line = event;
	const char *end = event + len;

	while (line < end) {
		const char *lf = memchr(line, '\n', (size_t)(end - line));
		const char *stop = lf ? lf : end;
		if ((size_t)(stop - line) > strlen(ID_FIELD_) && !memcmp(line, ID_FIELD_, strlen(ID_FIELD_))) {
			const char *from = line + strlen(ID_FIELD_);
			while (from < stop && isspace((unsigned char)*from))
				from++;
			while (stop > from && isspace((unsigned char)stop[-1]))
				stop--;
			if ((size_t)(stop - from) >= BH__EVENT_ID_LEN)
				return false;
			memset(out, 0, BH__EVENT_ID_LEN);
			memcpy(out, from, (size_t)(stop - from));
			return true;
		}
		line = stop + 1;
	}
	return false;
}

static bool is_number_(const char *text)
{
	for (const char *c = text; *c; c++)
		if (!isdigit((unsigned char)*c))
			return false;
	return *text != '\0';
}

/* Ids that are numbers rise; others are only compared with the last. */
static bool was_seen_(const BH__EventStream *s, const char *id)
{
	if (!s->last_id[0])
		return false;
	if (is_number_(s->last_id) && is_number_(id))
		return strtoull(id, NULL, 10) <= strtoull(s->last_id, NULL, 10);
	return !strcmp(id, s->last_id);
}
