/* SPDX-License-Identifier: BSD-3-Clause */
/* What identifies a request among others, its fingerprint and the parts of its prompt, and the log line that
 * names them. */
#include "call_internal.h"

#include "bayhoist/hash.h"
#include "log.h"

/* Sets the subjects of a request whose service is known: its fingerprint, which is the same for each caller
 * retry, and the parts that it may share with others. */
void call_set_subjects(Call *c)
{
	const InboundRequest *r = c->request;
	BH__FingerprintSource source = {.account = c->owner ? c->owner->name : "",
									.method = r->method,
									.target = r->target,
									.body = r->body->data,
									.body_len = r->body->len};

	c->subjects = (BH__CrashSubjects){.request = bh__fingerprint_compute(&source),
									  .service_id = bh__hash_name(c->service->name),
									  .parts = &r->meta.shared_parts};
}

/* Logs a request that was matched with its route and has `time_us` left. */
void call_log_admitted(const Call *c, uint64_t now_us, uint64_t time_us)
{
	const RequestMeta *m = &c->request->meta;
	GString *parts = g_string_new(NULL);
	char fingerprint[BH__FINGERPRINT_TEXT_LEN];

	bh__fingerprint_write(&c->subjects.request, fingerprint);
	bh__prompt_parts_write(&m->shared_parts, parts);
	log_event(
		"take",
		"request=%s fingerprint=%s route=%s service=%s account=%s repeat=%s prompt_tokens=%" G_GUINT64_FORMAT
		" left_ms=%" G_GUINT64_FORMAT " waited_before_ms=%" G_GUINT64_FORMAT
		" configuration=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT " parts=%s",
		m->request_id, fingerprint, c->rule->name, c->service->name, c->owner ? c->owner->name : "",
		BH__RetryModeString[c->rule->retry_mode], m->prompt_tokens, time_us / BH__MS_US,
		c->waited_before_us / BH__MS_US, bh__routing_get_version(c->routing),
		(now_us - c->gate->configuration.newest_read_us) / BH__MS_US, parts->str);
	g_string_free(parts, TRUE);
}
