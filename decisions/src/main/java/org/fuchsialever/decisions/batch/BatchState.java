package org.fuchsialever.decisions.batch;

/**
 * The state of a batch submission that all instances share. Its row guards the submission: whoever
 * changes results does so under the condition that the row has not changed.
 *
 * @param id identity of the submission
 * @param team the team that submitted it, empty if no key was needed
 * @param host the host that selects its route
 * @param path its path
 * @param itemCount the number of items
 * @param resultCount the number of results that have a position
 * @param submittedMillis when it was accepted, by the steady clock of the store in milliseconds
 * @param owner the instance that runs its items, empty if there is none
 * @param ownerStartId identity of the owner's process
 * @param epoch grows with each change of the owner
 * @param ended whether it was ended by its trainer
 * @param content what is known of its content
 */
public record BatchState(
        String id,
        String team,
        String host,
        String path,
        int itemCount,
        int resultCount,
        long submittedMillis,
        String owner,
        String ownerStartId,
        long epoch,
        boolean ended,
        BatchContent content) {

    /** Returns whether all items have a result. */
    public boolean isComplete() {
        return resultCount >= itemCount;
    }

    /** Returns whether items may still have to run. */
    public boolean isOpen() {
        return !ended && !isComplete();
    }

    /** Returns whether a process runs its items. */
    public boolean isOwnedBy(String instance, String start) {
        return owner.equals(instance) && ownerStartId.equals(start);
    }

    /** Returns the head with another owner. */
    public BatchState withOwner(String instance, String start) {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                resultCount,
                submittedMillis,
                instance,
                start,
                epoch + 1,
                ended,
                content);
    }

    /** Returns the head with more results. */
    public BatchState withResultCount(int count) {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                count,
                submittedMillis,
                owner,
                ownerStartId,
                epoch,
                ended,
                content);
    }

    /** Returns the head of a submission that its trainer has ended. */
    public BatchState asEnded() {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                resultCount,
                submittedMillis,
                owner,
                ownerStartId,
                epoch,
                true,
                content);
    }
}
