/* Unpacks the program that is appended to this executable and runs it.
 *
 * The executable ends with a payload and a trailer (see build.py). The
 * payload is unpacked once, into a folder of the cache that is named by
 * its digest. An atomic rename makes the folder visible only when it is
 * complete, so that concurrent first starts do not interfere. execv then
 * replaces this process: the process id stays and there is no child.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <ftw.h>

#define MAGIC "BULRUSH1"
#define DIGEST_LENGTH 64
#define EXIT_CANNOT_START 70
#define BUFFER_BYTES (1 << 16)
#define PROGRAM "bulrushrudder"

enum entry_kind { KIND_END = 0, KIND_FOLDER = 1, KIND_FILE = 2, KIND_LINK = 3 };

struct entry_header {
    uint32_t kind;
    uint32_t mode;
    uint32_t name_length;
    uint32_t reserved;
    uint64_t size;
};

struct trailer {
    uint64_t payload_bytes;
    char digest[DIGEST_LENGTH];
    char magic[8];
};

static char partial_folder[PATH_MAX];

static int remove_entry(const char *path, const struct stat *status, int kind,
                      struct FTW *place)
{
    (void)status;
    (void)kind;
    (void)place;
    return remove(path);
}

static void remove_partial_folder(void)
{
    if (partial_folder[0] != '\0')
        nftw(partial_folder, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
}

static void fail(const char *what, const char *path, int error)
{
    fprintf(stderr, "bulrushrudder: %s %s: %s\n", what, path,
            strerror(error));
    if (error == ENOSPC || error == EDQUOT || error == EACCES ||
        error == EROFS || error == ENOTDIR)
        fprintf(stderr, "bulrushrudder: set BULRUSHRUDDER_CACHE to a folder "
                        "that can be written and has 150 MB free\n");
    remove_partial_folder();
    exit(EXIT_CANNOT_START);
}

static void join_path(char *path, const char *folder, const char *name)
{
    if (snprintf(path, PATH_MAX, "%s/%s", folder, name) >= PATH_MAX)
        fail("cannot use", folder, ENAMETOOLONG);
}

static void read_exact(FILE *source, void *data, size_t size)
{
    if (fread(data, 1, size, source) != size)
        fail("cannot read", "the executable", ferror(source) ? errno : EIO);
}

static void create_folders(const char *path)
{
    char part[PATH_MAX];

    if (snprintf(part, sizeof part, "%s", path) >= (int)sizeof part)
        fail("cannot use", path, ENAMETOOLONG);
    for (char *slash = part + 1; *slash != '\0'; slash++) {
        if (*slash != '/')
            continue;
        *slash = '\0';
        if (mkdir(part, 0700) != 0 && errno != EEXIST)
            fail("cannot create the folder", part, errno);
        *slash = '/';
    }
    if (mkdir(part, 0700) != 0 && errno != EEXIST)
        fail("cannot create the folder", part, errno);
}

static void check_cache_folder(const char *path)
{
    struct stat status;

    if (stat(path, &status) != 0)
        fail("cannot use", path, errno);
    if (!S_ISDIR(status.st_mode))
        fail("cannot use", path, ENOTDIR);
    if (status.st_uid != geteuid() || (status.st_mode & (S_IWGRP | S_IWOTH)))
    {
        fprintf(stderr, "bulrushrudder: %s: expected a folder of this user "
                        "that others cannot write to\n", path);
        exit(EXIT_CANNOT_START);
    }
}

static void find_cache_folder(char *path)
{
    const char *configured = getenv("BULRUSHRUDDER_CACHE");
    const char *xdg_cache = getenv("XDG_CACHE_HOME");
    const char *home = getenv("HOME");

    if (configured != NULL && configured[0] != '\0') {
        if (snprintf(path, PATH_MAX, "%s", configured) >= PATH_MAX)
            fail("cannot use", "BULRUSHRUDDER_CACHE", ENAMETOOLONG);
    } else if (xdg_cache != NULL && xdg_cache[0] == '/') {
        join_path(path, xdg_cache, PROGRAM);
    } else if (home != NULL && home[0] == '/') {
        join_path(path, home, ".cache/" PROGRAM);
    } else {
        fprintf(stderr, "bulrushrudder: HOME is not set; set "
                        "BULRUSHRUDDER_CACHE to a folder for the unpacked "
                        "program\n");
        exit(EXIT_CANNOT_START);
    }
    create_folders(path);
    check_cache_folder(path);
}

static void copy_file(FILE *source, const char *path,
                      struct entry_header *head)
{
    static char buffer[BUFFER_BYTES];
    uint64_t remaining = head->size;
    FILE *target = fopen(path, "wbx");

    if (target == NULL)
        fail("cannot write", path, errno);
    while (remaining > 0) {
        size_t size = remaining < sizeof buffer ? remaining : sizeof buffer;
        read_exact(source, buffer, size);
        if (fwrite(buffer, 1, size, target) != size)
            fail("cannot write", path, errno);
        remaining -= size;
    }
    if (fflush(target) != 0 || fchmod(fileno(target), head->mode) != 0 ||
        fclose(target) != 0)
        fail("cannot write", path, errno);
}

static void create_link(FILE *source, const char *path,
                        struct entry_header *head)
{
    char link_target[PATH_MAX];

    if (head->size >= sizeof link_target)
        fail("cannot write", path, ENAMETOOLONG);
    read_exact(source, link_target, head->size);
    link_target[head->size] = '\0';
    if (symlink(link_target, path) != 0)
        fail("cannot write", path, errno);
}

static void unpack(FILE *source, const char *folder)
{
    struct entry_header head;
    char name[PATH_MAX];
    char path[PATH_MAX];

    for (;;) {
        read_exact(source, &head, sizeof head);
        if (head.kind == KIND_END)
            return;
        if (head.name_length >= sizeof name)
            fail("cannot unpack to", folder, ENAMETOOLONG);
        read_exact(source, name, head.name_length);
        name[head.name_length] = '\0';
        join_path(path, folder, name);
        if (head.kind == KIND_FOLDER) {
            if (mkdir(path, 0700) != 0)
                fail("cannot create the folder", path, errno);
        } else if (head.kind == KIND_FILE) {
            copy_file(source, path, &head);
        } else if (head.kind == KIND_LINK) {
            create_link(source, path, &head);
        } else {
            fail("cannot unpack to", folder, EINVAL);
        }
    }
}

static void install(FILE *source, long start, const char *cache,
                    const char *folder)
{
    join_path(partial_folder, cache, ".unpack-XXXXXX");
    if (mkdtemp(partial_folder) == NULL) {
        int error = errno;
        partial_folder[0] = '\0';
        fail("cannot create a folder in", cache, error);
    }
    if (fseek(source, start, SEEK_SET) != 0)
        fail("cannot read", "the executable", errno);
    unpack(source, partial_folder);
    if (rename(partial_folder, folder) != 0) {
        if (errno != EEXIST && errno != ENOTEMPTY)
            fail("cannot create the folder", folder, errno);
        /* A concurrent first start has created the folder. */
        remove_partial_folder();
    }
    partial_folder[0] = '\0';
}

int main(int count, char **arguments)
{
    struct trailer trailer;
    char cache[PATH_MAX];
    char folder[PATH_MAX];
    char program[PATH_MAX];
    char digest[DIGEST_LENGTH + 1];
    FILE *source = fopen("/proc/self/exe", "rbe");

    (void)count;
    if (source == NULL)
        fail("cannot read", "/proc/self/exe", errno);
    if (fseek(source, -(long)sizeof trailer, SEEK_END) != 0)
        fail("cannot read", "the executable", errno);
    long end = ftell(source);
    read_exact(source, &trailer, sizeof trailer);
    if (memcmp(trailer.magic, MAGIC, sizeof trailer.magic) != 0)
        fail("no payload in", "the executable", EINVAL);
    memcpy(digest, trailer.digest, DIGEST_LENGTH);
    digest[DIGEST_LENGTH] = '\0';
    find_cache_folder(cache);
    join_path(folder, cache, digest);
    join_path(program, folder, PROGRAM);
    if (access(program, X_OK) != 0)
        install(source, end - (long)trailer.payload_bytes, cache, folder);
    fclose(source);
    execv(program, arguments);
    fail("cannot start", program, errno);
    return EXIT_CANNOT_START;
}
