/**
 * JSON field names of the messages exchanged with users, workers, the cloud API, the key-value
 * store and other controllers.
 *
 * Many of the platform's field names are not English. Only this directory uses them; the rest of
 * the program uses the standard term, which the constant's name and comment give. A field that
 * already has the standard name is listed here only if several messages share it.
 */
#pragma once

/** Fields that several messages share. */
#define WS_FIELD_ID "id"             /**< id of a job, or of a machine in the cloud's list */
#define WS_FIELD_ENDPOINT "endpoint" /**< address at which the worker accepts commands */
#define WS_FIELD_MACHINE_TYPE "typ"  /**< machine type, as named in the catalog */
#define WS_FIELD_ZONE "hala"         /**< zone */
#define WS_FIELD_SPOT "vypujcky"     /**< machine: is a spot machine; job: may use spot machines */
#define WS_FIELD_CPUS "cpus"         /**< CPUs: a task's need or a type's capacity */
#define WS_FIELD_GPUS "accelerators" /**< GPUs: a task's need or a type's capacity */
#define WS_FIELD_MEMORY_GB "mem_gb"  /**< memory: a task's need or a type's capacity */
#define WS_FIELD_MACHINES "stroje"   /**< list of machines */
#define WS_FIELD_TASKS "kusy"        /**< job: number of tasks; heartbeat: task statuses */
#define WS_FIELD_STATE "stav"        /**< state of a job, task or machine */

/** Job submission. */
#define WS_FIELD_CLASS "trida"        /**< class, used for objectives and run-time estimates */
#define WS_FIELD_TEAM "dilna"         /**< team whose quota the job is charged to */
#define WS_FIELD_KIND "druh"          /**< kind of job: array, service or gang */
#define WS_FIELD_PRIORITY "prednost"  /**< priority class */
#define WS_FIELD_IMAGE "obraz"        /**< image name */
#define WS_FIELD_IMAGE_GB "pull_gb"   /**< image size */
#define WS_FIELD_MACHINE_TYPES "typy" /**< allowed machine types; catalog: list of types */
#define WS_FIELD_ONE_ZONE "one_zone"  /**< zone affinity: all tasks in one zone */
#define WS_FIELD_SPREAD "scatter"     /**< zone anti-affinity: at most half the tasks in one zone */
#define WS_FIELD_ESTIMATE_S "odhad_s" /**< estimated run time of a task */
#define WS_FIELD_CHECKPOINT_INTERVAL_S "zaloha_s" /**< checkpoint interval */
#define WS_FIELD_CHECKPOINT_SAVE_S "ulozeni_s"    /**< time to write the checkpoint at a stop */
#define WS_FIELD_DEADLINE_S "termin_s" /**< deadline, counted from the job's acceptance */

/** A worker's heartbeat, and its response to commands. */
#define WS_FIELD_MACHINE "stroj"            /**< machine name */
#define WS_FIELD_INCARNATION "smena"        /**< incarnation number of the worker */
#define WS_FIELD_SEQUENCE "poradi"          /**< sequence number within the incarnation */
#define WS_FIELD_FENCING_TOKEN "pecet"      /**< fencing token: highest epoch seen */
#define WS_FIELD_INTERRUPTION_S "vypoved_s" /**< interruption notice: time until reclaim */
#define WS_FIELD_TASK "kus"                 /**< task name, JOB/NUMBER */
#define WS_FIELD_ATTEMPT "pokus"            /**< attempt number */
#define WS_FIELD_EXIT_REASON "duvod"        /**< exit reason of a task */
#define WS_FIELD_IS_SAVED "stored"          /**< the progress of a stopped task is checkpointed */

/** Commands to a worker, and the response to its heartbeat. */
#define WS_FIELD_COMMANDS "prikazy"     /**< list of commands */
#define WS_FIELD_OPERATION "ukon"       /**< operation of one command */
#define WS_FIELD_GRACE_S "lhuta_s"      /**< grace period of a stop, for the checkpoint */
#define WS_FIELD_REDIRECT "hlasit_komu" /**< name of the controller that owns the machine */

/** Cloud API: catalog, list of machines, rental, return. */
#define WS_FIELD_TYPE_NAME "sku"                /**< name of a machine type */
#define WS_FIELD_CACHE_GB "local_gb"            /**< size of the machine's image cache */
#define WS_FIELD_FETCH_GB_PER_S "pull_gb_per_s" /**< image download rate, GB/s */
#define WS_FIELD_PRICE "price"                  /**< on-demand price */
#define WS_FIELD_SPOT_PRICE "low_price"         /**< spot price */
#define WS_FIELD_BOOT_S "boot_s"                /**< time from the rental to the first heartbeat */
#define WS_FIELD_ZONES "haly"                   /**< zones that offer the type */
#define WS_FIELD_AGE_S "age_s"                  /**< time since the machine was rented */
#define WS_FIELD_HAS_MORE "more"                /**< more pages follow */
#define WS_FIELD_IDEMPOTENCY_KEY "objednavka"   /**< idempotency key of a rental request */
#define WS_FIELD_MACHINE_COUNT "how_many"       /**< number of machines to rent */

/** Key-value store. */
#define WS_FIELD_REVISION "zmena" /**< revision of the whole store */
#define WS_FIELD_VERSION "verze"  /**< version of one key */
#define WS_FIELD_LEASE "najem"    /**< lease id */
