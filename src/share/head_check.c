/* SPDX-License-Identifier: BSD-3-Clause */
/* Sees the bytes of a connection as they are read, ahead of evhttp, which does not hand a head out. */
#include "head_check.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include "bayhoist/http_head.h"

struct HeadCheck {
	struct evbuffer *input; /* the connection's */
	BH__HttpHead head;
};

static void on_input_(struct evbuffer *input, const struct evbuffer_cb_info *info, void *arg);
static void process_(HeadCheck *c, const char *data, size_t len);

/* Checks the next answer on a connection, which must outlive the check. */
HeadCheck *head_check_new(struct evhttp_connection *conn)
{
	HeadCheck *c = g_new0(HeadCheck, 1);

	c->input = bufferevent_get_input(evhttp_connection_get_bufferevent(conn));
	head_check_restart(c);
	evbuffer_add_cb(c->input, on_input_, c);
	return c;
}

/* Prepares for the next answer, on a connection that is used again. */
void head_check_restart(HeadCheck *c)
{
	bh__http_head_init(&c->head, BH__HTTP_HEAD_ANSWER);
}

/* Returns why the head that has been read is none, or NULL if nothing is wrong with it so far. */
const char *head_check_get_fault(const HeadCheck *c)
{
	return c->head.cause;
}

/* Ends a check, which may be NULL. */
void head_check_delete(HeadCheck *c)
{
	if (!c)
		return;
	evbuffer_remove_cb(c->input, on_input_, c);
	g_free(c);
}

/* Reads the bytes that have been added to the buffer. */
static void on_input_(struct evbuffer *input, const struct evbuffer_cb_info *info, void *arg)
{
	HeadCheck *c = arg;
	struct evbuffer_ptr at;
	char data[4096];
	size_t left = info->n_added;
	ev_ssize_t n;

	if (!left || evbuffer_ptr_set(input, &at, evbuffer_get_length(input) - left, EVBUFFER_PTR_SET) != 0)
		return;
	while (left > 0 && c->head.state == BH__HTTP_HEAD_INCOMPLETE) {
		n = evbuffer_copyout_from(input, &at, data, MIN(left, sizeof data));
		if (n <= 0 || evbuffer_ptr_set(input, &at, (size_t)n, EVBUFFER_PTR_ADD) != 0)
			return;
		process_(c, data, (size_t)n);
		left -= (size_t)n;
	}
}

/* Checks bytes up to the end of the final head; another one follows an interim head. */
static void process_(HeadCheck *c, const char *data, size_t len)
{
	size_t used;

	while (len > 0 && bh__http_head_process(&c->head, data, len, &used) == BH__HTTP_HEAD_COMPLETE) {
		data += used;
		len -= used;
		if (c->head.status / 100 != 1)
			return;
		head_check_restart(c);
	}
}
