/* SPDX-License-Identifier: MIT
 *
 * A monotonic clock that excludes the time for which a test has suspended this process.
 *
 * Loaded with LD_PRELOAD, so that the interpreter, its event loop and ZeroMQ all use it. The file
 * named by FOLDLOOM_SUSPENDED holds the total suspended time in nanoseconds; the test updates it
 * while the process is stopped by a signal. The wall clock continues. CLOCK_BOOTTIME continues too,
 * unless FOLDLOOM_BOOT_CLOCK_STOPS is set to simulate a paused virtual machine.
 */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000LL
/* Absolute times below this are monotonic; wall-clock times are above. */
#define TIME_OF_DAY_MIN_S 1000000000LL

static const volatile int64_t *suspended_ns;
static int boot_clock_stops;
static int (*real_gettime)(clockid_t, struct timespec *);
static int (*real_cond_wait)(pthread_cond_t *, pthread_mutex_t *, const struct timespec *);
static int (*real_cond_clockwait)(pthread_cond_t *, pthread_mutex_t *, clockid_t,
                                  const struct timespec *);
static int (*real_sem_clockwait)(sem_t *, clockid_t, const struct timespec *);

__attribute__((constructor)) static void resolve_symbols(void) {
    real_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_cond_wait = dlsym(RTLD_NEXT, "pthread_cond_timedwait");
    real_cond_clockwait = dlsym(RTLD_NEXT, "pthread_cond_clockwait");
    real_sem_clockwait = dlsym(RTLD_NEXT, "sem_clockwait");
    boot_clock_stops = getenv("FOLDLOOM_BOOT_CLOCK_STOPS") != NULL;
    const char *path = getenv("FOLDLOOM_SUSPENDED");
    int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *page = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (page != MAP_FAILED) {
        suspended_ns = page;
    }
}

static int is_monotonic(clockid_t clock) {
    return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW ||
           clock == CLOCK_MONOTONIC_COARSE || (boot_clock_stops && clock == CLOCK_BOOTTIME);
}

static struct timespec shifted(const struct timespec *at, int64_t by_ns) {
    int64_t ns = at->tv_sec * NS_PER_S + at->tv_nsec + by_ns;
    return (struct timespec){.tv_sec = ns / NS_PER_S, .tv_nsec = ns % NS_PER_S};
}

/* The kernel's clock includes the suspended time, so it is added to a monotonic deadline. */
static struct timespec to_kernel_time(const struct timespec *until) {
    int is_monotonic_time = suspended_ns != NULL && until->tv_sec < TIME_OF_DAY_MIN_S;
    return is_monotonic_time ? shifted(until, *suspended_ns) : *until;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    if (real_gettime == NULL) {
        real_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_gettime(clock, now);
    if (result == 0 && suspended_ns != NULL && is_monotonic(clock)) {
        *now = shifted(now, -*suspended_ns);
    }
    return result;
}

int pthread_cond_timedwait(pthread_cond_t *condition, pthread_mutex_t *mutex,
                           const struct timespec *until) {
    struct timespec kernel_until = to_kernel_time(until);
    return real_cond_wait(condition, mutex, &kernel_until);
}

int pthread_cond_clockwait(pthread_cond_t *condition, pthread_mutex_t *mutex, clockid_t clock,
                           const struct timespec *until) {
    struct timespec kernel_until = to_kernel_time(until);
    return real_cond_clockwait(condition, mutex, clock, &kernel_until);
}

int sem_clockwait(sem_t *semaphore, clockid_t clock, const struct timespec *until) {
    struct timespec kernel_until = to_kernel_time(until);
    return real_sem_clockwait(semaphore, clock, &kernel_until);
}
