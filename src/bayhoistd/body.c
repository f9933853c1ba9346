/* SPDX-License-Identifier: BSD-3-Clause */
/* The body of a caller's request. It is taken over from the connection and then only referred to, by every
 * attempt, however long it is. */
#include "daemon.h"

#include <event2/buffer.h>

/* Takes the body out of a request. */
Body *body_new(struct evhttp_request *req)
{
	Body *b = g_new0(Body, 1);

	b->refs = 1;
	b->body = evbuffer_new();
	evbuffer_add_buffer(b->body, evhttp_request_get_input_buffer(req));
	b->len = evbuffer_get_length(b->body);
	b->data = (const char *)evbuffer_pullup(b->body, -1);
	if (!b->data)
		b->data = "";
	b->open_len = b->len;
	while (b->open_len > 0 && b->data[b->open_len - 1] != '}')
		b->open_len--;
	b->open_len -= b->open_len > 0;
	return b;
}

Body *body_ref(Body *b)
{
	b->refs++;
	return b;
}

void body_unref(Body *b)
{
	if (!b || --b->refs)
		return;
	evbuffer_free(b->body);
	g_free(b);
}
