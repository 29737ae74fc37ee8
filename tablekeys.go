package egretflow

// Keys of the tables in the store. Both are written in one transaction, so the
// head always matches the document.
const (
	TablesDocumentKey = "Tables/Document"
	// TablesHeadKey holds a TablesHead, which is small and therefore cheap to
	// read often.
	TablesHeadKey = "Tables/Head"
)

// TablesHead states which revision of the tables the store holds.
type TablesHead struct {
	Revision Revision
	EditID   string
}
