/* SPDX-License-Identifier: BSD-3-Clause */
/* Reading, installing and changing the configuration.
 *
 * A change takes these steps: read the head, fetch missing chunks, apply the change to a copy of the catalog,
 * write the new chunks and replace the head by compare-and-swap. Chunks are keyed by the hash of their
 * content, so writing a chunk twice is harmless. The head lists the ids of recent changes. If the reply to
 * the compare-and-swap is lost, the head is read again, and the change is in force if its id is there. */
#include "bayhoist/config.h"

#include <string.h>
#include <xxhash.h>
#include "bayhoist/hash.h"

#define HEAD_KEY_ "/bayhoist/config/head"
#define CHUNK_KEY_ "/bayhoist/config/chunk/"
#define EMPTY_CHUNK_ "[]"
#define CHANGES_KEPT_ 64 /* recent changes that the head lists */
#define RETRY_PAUSE_US_ (200 * BH__MS_US)
#define MAX_VALUE_BYTES_ (1000 * 1000) /* the store's limit, less its framing */

const char *const BH__ApplyStatusString[] = {"ok", "invalid", "conflict", "store-down", "unknown"};

/* A parsed head: {"revision", "chunks": [BH__CHUNK_COUNT hashes in hex], "changes": [{"id", "by", "revision",
 * "names"}]}. */
typedef struct {
	uint64_t revision;
	uint64_t chunk_hash[BH__CHUNK_COUNT];
	struct json_object *changes; /* recent changes, oldest first; owned */
} Head_;

/* Retrieval of the chunks of a head that is newer than the local one. */
typedef struct {
	Head_ head;
	char *head_text;
	char *chunks[BH__CHUNK_COUNT]; /* received texts; NULL: not received, or the same as the local chunk */
	unsigned pending_replies;
	bool failed; /* at least one chunk could not be read */
} Fetch_;

/* Step that a change has reached. */
typedef enum { APPLY_READ_, APPLY_WRITE_CHUNKS_, APPLY_SWAP_, APPLY_PAUSE_ } ApplyStep_;

/* A change that has not ended. */
typedef struct {
	BH__Config *config;
	ApplyStep_ step;
	struct json_object *change;
	char *change_id;
	char *author;
	uint64_t deadline_us;
	uint64_t resume_us;                   /* end of a pause */
	uint64_t head_mod_revision;           /* store revision of the head last read; 0: there is no head */
	bool chunk_written[BH__CHUNK_COUNT];  /* the store holds the chunk with this `chunk_hash` */
	uint64_t chunk_hash[BH__CHUNK_COUNT]; /* hashes of the chunks of `next_catalog` */
	uint64_t base_revision;    /* of the head read first; later changes to the same resources conflict */
	bool has_base_revision;    /* `base_revision` is set */
	bool write_all_chunks;     /* the store has no head or an older one, and may lack any chunk */
	BH__Catalog *next_catalog; /* the catalog with the change applied */
	char *next_head;           /* text of the head that refers to `next_catalog` */
	unsigned pending_replies;
	bool write_failed;    /* at least one chunk was not written */
	bool swap_unanswered; /* a compare-and-swap got no reply and may still take effect */
	GPtrArray *writes;    /* ChunkWrite_ *, owned; owners of the pending store calls */
	BH__ApplyDone done;
	void *ctx;
} Apply_;

/* One write of a chunk. */
typedef struct {
	Apply_ *apply;
	unsigned chunk; /* index of the chunk */
} ChunkWrite_;

struct BH__Config {
	BH__Store *store;
	BH__ConfigInstalled installed;
	void *ctx;
	BH__Catalog *catalog;
	Head_ head;
	char *head_text; /* empty at revision 0 */
	char *chunk_text[BH__CHUNK_COUNT];
	Fetch_ *fetch;      /* NULL: no chunks are being fetched */
	GPtrArray *applies; /* Apply_ *; only the first one runs, the others wait */
	bool polling;       /* bh__config_poll() waits for the head */
};

static bool head_parse_(Head_ *head, const char *text, size_t len);
static void head_clear_(Head_ *head);
static char *head_write_(const Head_ *old, uint64_t revision, const uint64_t hash[], const Apply_ *a);
static struct json_object *get_changed_names_(struct json_object *change);
static uint64_t chunk_hash_(const char *text);
static bool is_empty_hash_(uint64_t hash);
static void on_polled_head_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void start_fetch_(BH__Config *c, Head_ *head, const char *text, size_t len, uint64_t now_us);
static void on_chunk_read_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void finish_fetch_(BH__Config *c, uint64_t now_us);
static void fetch_delete_(Fetch_ *f);
static bool install_(BH__Config *c, Head_ *head, const char *text, char *const chunks[], GError **error);
static bool apply_may_take_effect_(const Apply_ *a);
static void apply_resume_(Apply_ *a, uint64_t now_us);
static void apply_read_(Apply_ *a, uint64_t now_us);
static void on_apply_head_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void apply_to_catalog_(Apply_ *a, uint64_t now_us);
static void apply_write_(Apply_ *a, uint64_t now_us);
static void write_chunk_(Apply_ *a, unsigned chunk, const char *text, uint64_t now_us);
static void on_chunk_written_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void end_write_(Apply_ *a, uint64_t now_us);
static void apply_swap_(Apply_ *a, uint64_t now_us);
static void on_swap_reply_(void *owner, const BH__StoreReply *reply, uint64_t now_us);
static void apply_pause_(Apply_ *a, uint64_t now_us);
static bool head_lists_change_(const Head_ *head, const char *change_id);
static char *describe_conflict_(const BH__Config *c, const Apply_ *a, uint64_t since_revision);
static void apply_finish_(Apply_ *a, BH__ApplyStatus status, const char *message);

/* Returns an empty configuration at revision 0; the caller frees it with bh__config_delete(). `installed` is
 * called for each newer revision that is installed. */
BH__Config *bh__config_new(BH__Store *store, BH__ConfigInstalled installed, void *ctx)
{
	BH__Config *c = g_new0(BH__Config, 1);
	c->store = store;
	c->installed = installed;
	c->ctx = ctx;
	c->catalog = bh__catalog_new();
	c->head.changes = json_object_new_array();
	c->head_text = g_strdup("");
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		c->chunk_text[i] = g_strdup(EMPTY_CHUNK_);
		c->head.chunk_hash[i] = chunk_hash_(EMPTY_CHUNK_);
	}
	c->applies = g_ptr_array_new();
	return c;
}

/* Ends all changes that are in progress, cancels the store calls and frees the configuration. A change whose
 * compare-and-swap got no reply ends as BH__APPLY_UNKNOWN, any other as BH__APPLY_STORE_DOWN. */
void bh__config_delete(BH__Config *c)
{
	bh__store_cancel_callbacks(c->store, c);
	while (c->applies->len) {
		Apply_ *a = g_ptr_array_index(c->applies, 0);
		apply_finish_(a, apply_may_take_effect_(a) ? BH__APPLY_UNKNOWN : BH__APPLY_STORE_DOWN,
					  "the node is shutting down");
	}
	g_ptr_array_unref(c->applies);
	fetch_delete_(c->fetch);
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
		g_free(c->chunk_text[i]);
	head_clear_(&c->head);
	g_free(c->head_text);
	bh__catalog_delete(c->catalog);
	g_free(c);
}

uint64_t bh__config_get_revision(const BH__Config *c)
{
	return c->head.revision;
}

/* Returns the catalog in force. It is valid until the next revision is installed. */
const BH__Catalog *bh__config_get_catalog(const BH__Config *c)
{
	return c->catalog;
}

/* Returns the text of the head in force, which the configuration owns; empty at revision 0. */
const char *bh__config_get_head(const BH__Config *c)
{
	return c->head_text;
}

/* Copies the hashes of the chunks in force to `hash`. */
void bh__config_get_chunk_hashes(const BH__Config *c, uint64_t hash[BH__CHUNK_COUNT])
{
	memcpy(hash, c->head.chunk_hash, sizeof c->head.chunk_hash);
}

/* Returns the text of a chunk, which the configuration owns. */
const char *bh__config_get_chunk(const BH__Config *c, unsigned chunk)
{
	return c->chunk_text[chunk];
}

static uint64_t chunk_hash_(const char *text)
{
	return XXH64(text, strlen(text), 3);
}

/* Returns true for the hash of an empty chunk. Empty chunks are not written to the store, because every node
 * can construct them. */
static bool is_empty_hash_(uint64_t hash)
{
	return hash == chunk_hash_(EMPTY_CHUNK_);
}

/* Parses the text of a head. Returns false if it is malformed or has another number of chunks. The caller
 * frees the content with head_clear_(). */
static bool head_parse_(Head_ *head, const char *text, size_t len)
{
	struct json_object *root = bh__json_parse(text, len, NULL);
	struct json_object *revision = NULL;
	struct json_object *chunks = NULL;
	struct json_object *changes = NULL;
	bool ok;

	ok = root && json_object_object_get_ex(root, "revision", &revision) &&
		 json_object_object_get_ex(root, "chunks", &chunks) && json_object_is_type(chunks, json_type_array) &&
		 json_object_array_length(chunks) == BH__CHUNK_COUNT &&
		 json_object_object_get_ex(root, "changes", &changes);
	if (ok) {
		head->revision = (uint64_t)json_object_get_int64(revision);
		head->changes = json_object_get(changes);
		for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
			head->chunk_hash[i] =
				g_ascii_strtoull(json_object_get_string(json_object_array_get_idx(chunks, i)), NULL, 16);
	}
	json_object_put(root);
	return ok;
}

static void head_clear_(Head_ *head)
{
	json_object_put(head->changes);
	head->changes = NULL;
}

/* Returns the text of the head that the change `a` makes of `old`, with the newest CHANGES_KEPT_ changes. The
 * caller frees it with g_free(). */
static char *head_write_(const Head_ *old, uint64_t revision, const uint64_t hash[], const Apply_ *a)
{
	struct json_object *root = json_object_new_object();
	struct json_object *chunks = json_object_new_array();
	struct json_object *changes = json_object_new_array();
	struct json_object *entry = json_object_new_object();
	size_t old_count = json_object_array_length(old->changes);
	size_t first = old_count >= CHANGES_KEPT_ ? old_count - CHANGES_KEPT_ + 1 : 0;
	char hex[17];
	char *text;

	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		g_snprintf(hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", hash[i]);
		json_object_array_add(chunks, json_object_new_string(hex));
	}
	for (size_t i = first; i < old_count; i++)
		json_object_array_add(changes, json_object_get(json_object_array_get_idx(old->changes, i)));
	json_object_object_add(entry, "id", json_object_new_string(a->change_id));
	json_object_object_add(entry, "by", json_object_new_string(a->author));
	json_object_object_add(entry, "revision", json_object_new_int64((int64_t)revision));
	json_object_object_add(entry, "names", get_changed_names_(a->change));
	json_object_array_add(changes, entry);
	json_object_object_add(root, "revision", json_object_new_int64((int64_t)revision));
	json_object_object_add(root, "chunks", chunks);
	json_object_object_add(root, "changes", changes);
	text = g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

/* Returns the resources that a change names, as a JSON array of "kind/name". The caller frees it with
 * json_object_put(). */
static struct json_object *get_changed_names_(struct json_object *change)
{
	struct json_object *names = json_object_new_array();
	struct json_object *items = json_object_object_get(change, "resources");

	for (size_t i = 0; i < json_object_array_length(items); i++) {
		struct json_object *item = json_object_array_get_idx(items, i);
		char *name = g_strdup_printf("%s/%s", json_object_get_string(json_object_object_get(item, "kind")),
									 json_object_get_string(json_object_object_get(item, "name")));
		json_object_array_add(names, json_object_new_string(name));
		g_free(name);
	}
	return names;
}

/* Reads the head from the store and, if it is newer, fetches and installs the configuration. Does nothing
 * while a former read or fetch is in progress. */
void bh__config_poll(BH__Config *c, uint64_t now_us)
{
	BH__StoreCall call = {.op = BH__STORE_GET, .key = HEAD_KEY_};

	if (c->polling || c->fetch)
		return;
	c->polling = true;
	bh__store_call(c->store, &call, on_polled_head_, c, now_us);
}

/* Starts a fetch if the head that was read is newer than the local one. */
static void on_polled_head_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	BH__Config *c = owner;
	Head_ head = {0};

	c->polling = false;
	if (reply->status != BH__STORE_OK || c->fetch || !head_parse_(&head, reply->value, reply->value_len))
		return;
	if (head.revision > c->head.revision)
		start_fetch_(c, &head, reply->value, reply->value_len, now_us);
	else
		head_clear_(&head);
}

/* Takes ownership of `head` and reads the chunks that differ from the local ones from the store. */
static void start_fetch_(BH__Config *c, Head_ *head, const char *text, size_t len, uint64_t now_us)
{
	Fetch_ *f = g_new0(Fetch_, 1);

	f->head = *head;
	f->head_text = g_strndup(text, len);
	f->pending_replies = 1; /* prevents completion before all calls are made */
	c->fetch = f;
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		char key[sizeof CHUNK_KEY_ + 16];
		BH__StoreCall call = {.op = BH__STORE_GET, .key = key};
		if (f->head.chunk_hash[i] == c->head.chunk_hash[i])
			continue;
		if (is_empty_hash_(f->head.chunk_hash[i])) {
			f->chunks[i] = g_strdup(EMPTY_CHUNK_);
			continue;
		}
		g_snprintf(key, sizeof key, CHUNK_KEY_ "%016" G_GINT64_MODIFIER "x", f->head.chunk_hash[i]);
		f->pending_replies++;
		bh__store_call(c->store, &call, on_chunk_read_, c, now_us);
	}
	if (--f->pending_replies == 0)
		finish_fetch_(c, now_us);
}

/* Stores a received chunk wherever the head lists the hash of its content. Ends the fetch with the last
 * reply. */
static void on_chunk_read_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	BH__Config *c = owner;
	Fetch_ *f = c->fetch;

	if (!f)
		return;
	if (reply->status == BH__STORE_OK) {
		char *text = g_strndup(reply->value, reply->value_len);
		uint64_t hash = chunk_hash_(text);
		for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
			if (f->head.chunk_hash[i] == hash && !f->chunks[i])
				f->chunks[i] = g_strdup(text);
		g_free(text);
	}
	else {
		f->failed = true;
	}
	if (--f->pending_replies == 0)
		finish_fetch_(c, now_us);
}

/* Installs the fetched configuration if all chunks arrived, and resumes the change that waited for it. */
static void finish_fetch_(BH__Config *c, uint64_t now_us)
{
	Fetch_ *f = c->fetch;
	Apply_ *a = c->applies->len ? g_ptr_array_index(c->applies, 0) : NULL;

	c->fetch = NULL;
	if (!f->failed && f->head.revision > c->head.revision)
		install_(c, &f->head, f->head_text, f->chunks, NULL);
	fetch_delete_(f);
	if (a && a->step == APPLY_READ_)
		apply_pause_(a, now_us);
}

static void fetch_delete_(Fetch_ *f)
{
	if (!f)
		return;
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
		g_free(f->chunks[i]);
	head_clear_(&f->head);
	g_free(f->head_text);
	g_free(f);
}

/* Builds the catalog of `head` from the given chunks, or from the local chunk where `chunks` has NULL, and
 * puts it in force. On success takes ownership of the content of `head`. Returns false and sets an error if a
 * chunk does not match its hash in the head or cannot be parsed. */
static bool install_(BH__Config *c, Head_ *head, const char *text, char *const chunks[], GError **error)
{
	BH__Catalog *next_catalog = bh__catalog_new();

	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		const char *chunk = chunks[i] ? chunks[i] : c->chunk_text[i];
		if (chunk_hash_(chunk) != head->chunk_hash[i]) {
			g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_FIELD, "chunk %u does not match the head", i);
			bh__catalog_delete(next_catalog);
			return false;
		}
		if (!bh__catalog_read_chunk(next_catalog, i, chunk, strlen(chunk), error)) {
			bh__catalog_delete(next_catalog);
			return false;
		}
	}
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		if (chunks[i]) {
			g_free(c->chunk_text[i]);
			c->chunk_text[i] = g_strdup(chunks[i]);
		}
	}
	head_clear_(&c->head);
	c->head = *head;
	head->changes = NULL;
	g_free(c->head_text);
	c->head_text = g_strdup(text);
	bh__catalog_delete(c->catalog);
	c->catalog = next_catalog;
	c->installed(c->ctx, c->head.revision);
	return true;
}

/* Installs a head and the chunks that a peer sent; `chunks` has NULL for chunks that have not changed.
 * Ignores a revision that is not newer and returns true. Returns false and sets an error if the head is
 * malformed or a chunk is missing or invalid. */
bool bh__config_install(BH__Config *c, const char *head_text, const char *const chunks[BH__CHUNK_COUNT],
						GError **error)
{
	Head_ head = {0};
	bool ok = true;

	if (!head_parse_(&head, head_text, strlen(head_text))) {
		g_set_error(error, BH__INPUT_ERROR, BH__INPUT_ERROR_SYNTAX, "malformed configuration head");
		return false;
	}
	if (head.revision > c->head.revision)
		ok = install_(c, &head, head_text, (char *const *)chunks, error);
	head_clear_(&head);
	return ok;
}

/* Starts a change of the form {"resources": [...]}. The operator chooses a unique `change_id`; a retry with
 * the same id does not apply the change twice while the head lists it. `author` names who makes it. `done` is
 * called exactly once: from within this function if the text is malformed, at the first tick after
 * `deadline_us` at the latest otherwise, or when the configuration is deleted. */
void bh__config_apply(BH__Config *c, const char *change, size_t len, const char *change_id,
					  const char *author, uint64_t deadline_us, BH__ApplyDone done, void *ctx,
					  uint64_t now_us)
{
	GError *error = NULL;
	Apply_ *a = g_new0(Apply_, 1);

	a->config = c;
	a->writes = g_ptr_array_new_with_free_func(g_free);
	a->change_id = g_strdup(change_id);
	a->author = g_strdup(author);
	a->deadline_us = deadline_us;
	a->done = done;
	a->ctx = ctx;
	a->change = bh__json_parse(change, len, &error);
	g_ptr_array_add(c->applies, a);
	if (!a->change || !bh__catalog_check_change(a->change, &error)) {
		apply_finish_(a, BH__APPLY_INVALID, error->message);
		g_error_free(error);
		return;
	}
	if (c->applies->len == 1)
		apply_read_(a, now_us);
}

/* Ends changes whose deadline has passed and starts or resumes the first of the others. */
void bh__config_process_tick(BH__Config *c, uint64_t now_us)
{
	for (guint i = c->applies->len; i-- > 0;) {
		Apply_ *a = g_ptr_array_index(c->applies, i);
		if (now_us < a->deadline_us)
			continue;
		if (apply_may_take_effect_(a))
			apply_finish_(a, BH__APPLY_UNKNOWN, "the store did not reply; retry with the same change id");
		else
			apply_finish_(a, BH__APPLY_STORE_DOWN, "the store could not be reached; nothing was changed");
	}
	if (c->applies->len)
		apply_resume_(g_ptr_array_index(c->applies, 0), now_us);
}

/* Returns true if the head may be replaced after the change has ended: a compare-and-swap is under way, or
 * one got no reply. */
static bool apply_may_take_effect_(const Apply_ *a)
{
	return a->swap_unanswered || (a->step == APPLY_SWAP_ && a->pending_replies);
}

/* Reads the head for a change whose pause is over, that has not started or that waited for a fetch. */
static void apply_resume_(Apply_ *a, uint64_t now_us)
{
	if (a->step == APPLY_PAUSE_ && now_us >= a->resume_us)
		apply_read_(a, now_us);
	else if (a->step == APPLY_READ_ && !a->pending_replies && !a->config->fetch)
		apply_read_(a, now_us);
}

/* Reads the head, the first step of a change. */
static void apply_read_(Apply_ *a, uint64_t now_us)
{
	BH__StoreCall call = {.op = BH__STORE_GET, .key = HEAD_KEY_};

	a->step = APPLY_READ_;
	a->pending_replies = 1;
	bh__store_call(a->config->store, &call, on_apply_head_, a, now_us);
}

/* Continues a change with the head that was read. Fetches a newer configuration first, and pauses the change
 * if the head could not be read. */
static void on_apply_head_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	Apply_ *a = owner;
	BH__Config *c = a->config;
	Head_ head = {0};

	a->pending_replies = 0;
	if (reply->status == BH__STORE_NOT_FOUND) {
		a->head_mod_revision = 0;
		a->write_all_chunks = true;
		apply_to_catalog_(a, now_us);
		return;
	}
	if (reply->status != BH__STORE_OK || !head_parse_(&head, reply->value, reply->value_len)) {
		apply_pause_(a, now_us);
		return;
	}
	a->head_mod_revision = reply->mod_revision;
	a->write_all_chunks = head.revision < c->head.revision;
	if (!a->has_base_revision)
		a->base_revision = head.revision;
	a->has_base_revision = true;
	if (head.revision > c->head.revision) { /* finish_fetch_() resumes the change */
		if (c->fetch)
			head_clear_(&head);
		else
			start_fetch_(c, &head, reply->value, reply->value_len, now_us);
		return;
	}
	head_clear_(&head);
	apply_to_catalog_(a, now_us);
}

/* Applies the change to a copy of the catalog and starts writing its chunks. Requires that the catalog is at
 * least as new as the store's head. Ends the change if it is already in force, conflicts with another one or
 * is invalid. */
static void apply_to_catalog_(Apply_ *a, uint64_t now_us)
{
	BH__Config *c = a->config;
	GError *error = NULL;
	char *conflicting;

	if (head_lists_change_(&c->head, a->change_id)) {
		apply_finish_(a, BH__APPLY_OK, "");
		return;
	}
	conflicting = describe_conflict_(c, a, a->base_revision);
	if (a->has_base_revision && conflicting) {
		apply_finish_(a, BH__APPLY_CONFLICT, conflicting);
		g_free(conflicting);
		return;
	}
	g_free(conflicting);
	bh__catalog_delete(a->next_catalog);
	a->next_catalog = bh__catalog_copy(c->catalog);
	if (!bh__catalog_apply(a->next_catalog, a->change, &error)) {
		bool conflict = g_error_matches(error, BH__CATALOG_ERROR, BH__CATALOG_ERROR_CONFLICT);
		char *details = conflict ? describe_conflict_(c, a, 0) : NULL;
		char *message = g_strconcat(error->message, details ? "; " : "", details, NULL);
		apply_finish_(a, conflict ? BH__APPLY_CONFLICT : BH__APPLY_INVALID, message);
		g_free(message);
		g_free(details);
		g_error_free(error);
		return;
	}
	apply_write_(a, now_us);
}

/* Returns true if a head lists the change with this id. */
static bool head_lists_change_(const Head_ *head, const char *change_id)
{
	for (size_t i = 0; i < json_object_array_length(head->changes); i++) {
		struct json_object *change = json_object_array_get_idx(head->changes, i);
		if (!strcmp(json_object_get_string(json_object_object_get(change, "id")), change_id))
			return true;
	}
	return false;
}

/* Returns a text "last changed by X (change ID), refused to Y (change ID)" about the newest change after
 * `since_revision` to a resource that `a` names. The caller frees it with g_free(). Returns NULL if there is
 * no such change. */
static char *describe_conflict_(const BH__Config *c, const Apply_ *a, uint64_t since_revision)
{
	struct json_object *own_names = get_changed_names_(a->change);
	char *text = NULL;

	for (size_t i = json_object_array_length(c->head.changes); i-- > 0 && !text;) {
		struct json_object *change = json_object_array_get_idx(c->head.changes, i);
		struct json_object *names = json_object_object_get(change, "names");
		if ((uint64_t)json_object_get_int64(json_object_object_get(change, "revision")) <= since_revision)
			break;
		for (size_t k = 0; k < json_object_array_length(names) && !text; k++)
			for (size_t m = 0; m < json_object_array_length(own_names) && !text; m++)
				if (!strcmp(json_object_get_string(json_object_array_get_idx(names, k)),
							json_object_get_string(json_object_array_get_idx(own_names, m))))
					text = g_strdup_printf("last changed by %s (change %s), refused to %s (change %s)",
										   json_object_get_string(json_object_object_get(change, "by")),
										   json_object_get_string(json_object_object_get(change, "id")),
										   a->author, a->change_id);
	}
	json_object_put(own_names);
	return text;
}

/* Writes the chunks that the change creates and the store does not hold yet. If a write fails, for example
 * because it exceeds the call budget, the change pauses and only the missing chunks are written again. */
static void apply_write_(Apply_ *a, uint64_t now_us)
{
	BH__Config *c = a->config;

	a->step = APPLY_WRITE_CHUNKS_;
	a->pending_replies = 1; /* prevents completion before all calls are made */
	a->write_failed = false;
	for (unsigned i = 0; i < BH__CHUNK_COUNT; i++) {
		char *text = bh__catalog_write_chunk(a->next_catalog, i);
		uint64_t hash = chunk_hash_(text);
		bool fits = strlen(text) <= MAX_VALUE_BYTES_;

		if (hash != a->chunk_hash[i])
			a->chunk_written[i] = false;
		a->chunk_hash[i] = hash;
		if (fits && !a->chunk_written[i] && !is_empty_hash_(hash) &&
			(a->write_all_chunks || hash != c->head.chunk_hash[i]))
			write_chunk_(a, i, text, now_us);
		g_free(text);
		if (!fits) {
			apply_finish_(a, BH__APPLY_INVALID,
						  "chunk too large for the store: too many resources of this kind");
			return;
		}
	}
	g_free(a->next_head);
	a->next_head = head_write_(&c->head, c->head.revision + 1, a->chunk_hash, a);
	end_write_(a, now_us);
}

/* Writes one chunk to the store under the hash of its content. */
static void write_chunk_(Apply_ *a, unsigned chunk, const char *text, uint64_t now_us)
{
	ChunkWrite_ *w = g_new0(ChunkWrite_, 1);
	char key[sizeof CHUNK_KEY_ + 16];
	BH__StoreCall call = {.op = BH__STORE_PUT, .key = key, .value = text, .value_len = strlen(text)};

	w->apply = a;
	w->chunk = chunk;
	g_ptr_array_add(a->writes, w);
	a->pending_replies++;
	g_snprintf(key, sizeof key, CHUNK_KEY_ "%016" G_GINT64_MODIFIER "x", a->chunk_hash[chunk]);
	bh__store_call(a->config->store, &call, on_chunk_written_, w, now_us);
}

/* Records whether a chunk was written. */
static void on_chunk_written_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	ChunkWrite_ *w = owner;
	Apply_ *a = w->apply;

	a->chunk_written[w->chunk] = reply->status == BH__STORE_OK;
	a->write_failed |= reply->status != BH__STORE_OK;
	end_write_(a, now_us);
}

/* Accounts for the end of one write. After the last one, replaces the head, or pauses if a write failed. */
static void end_write_(Apply_ *a, uint64_t now_us)
{
	if (--a->pending_replies)
		return;
	if (a->write_failed)
		apply_pause_(a, now_us);
	else
		apply_swap_(a, now_us);
}

/* Replaces the head if it has not changed since it was read. */
static void apply_swap_(Apply_ *a, uint64_t now_us)
{
	BH__StoreCall call = {.op = BH__STORE_CAS,
						  .key = HEAD_KEY_,
						  .value = a->next_head,
						  .value_len = strlen(a->next_head),
						  .expect_revision = a->head_mod_revision};

	a->step = APPLY_SWAP_;
	a->pending_replies = 1;
	bh__store_call(a->config->store, &call, on_swap_reply_, a, now_us);
}

/* Installs the new head if the store accepted it. After a conflict or a lost reply the head is read again:
 * either it lists the change, or the change is applied to the current catalog. */
static void on_swap_reply_(void *owner, const BH__StoreReply *reply, uint64_t now_us)
{
	Apply_ *a = owner;

	a->pending_replies = 0;
	a->swap_unanswered |= reply->status == BH__STORE_UNKNOWN;
	if (reply->status == BH__STORE_OK) {
		char *chunks[BH__CHUNK_COUNT];
		bool ok;
		for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
			chunks[i] = bh__catalog_write_chunk(a->next_catalog, i);
		ok = bh__config_install(a->config, a->next_head, (const char *const *)chunks, NULL);
		g_assert(ok);
		for (unsigned i = 0; i < BH__CHUNK_COUNT; i++)
			g_free(chunks[i]);
		apply_finish_(a, BH__APPLY_OK, "");
		return;
	}
	apply_pause_(a, now_us);
}

/* Pauses a change before it reads the head again. The pause is RETRY_PAUSE_US_ while a fetch is in progress
 * and a quarter of it otherwise. */
static void apply_pause_(Apply_ *a, uint64_t now_us)
{
	a->step = APPLY_PAUSE_;
	a->pending_replies = 0;
	a->resume_us = now_us + (a->config->fetch ? RETRY_PAUSE_US_ : RETRY_PAUSE_US_ / 4);
}

/* Reports the result of a change and frees the change. The next change starts at the next tick. */
static void apply_finish_(Apply_ *a, BH__ApplyStatus status, const char *message)
{
	BH__ApplyResult result = {.status = status, .revision = a->config->head.revision, .message = message};

	bh__store_cancel_callbacks(a->config->store, a);
	for (guint i = 0; i < a->writes->len; i++)
		bh__store_cancel_callbacks(a->config->store, g_ptr_array_index(a->writes, i));
	g_ptr_array_unref(a->writes);
	g_ptr_array_remove(a->config->applies, a);
	a->done(a->ctx, &result);
	bh__catalog_delete(a->next_catalog);
	json_object_put(a->change);
	g_free(a->next_head);
	g_free(a->change_id);
	g_free(a->author);
	g_free(a);
}
